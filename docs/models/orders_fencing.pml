/*
 * Orders to one upstream by two holders of its scope.
 *
 * Transition names are those of charts/order_life.json. Time is abstract: a
 * holder's own lease ends before the platform's lease does. The waiting times
 * of a holder (lease time plus longest order, or longest order alone) are
 * modelled as a wait until no order is in transit. This relies on an assumption
 * about delivery: an order written to the socket arrives, or is lost, within
 * that time. Left out: read_failed, refresh and order_failed, because each only
 * leads to another read of the upstream's state. A holder in state "out" does
 * not hold the scope.
 *
 * Safety: an order never takes effect after a newer one.
 * Progress: once faults have stopped, the upstream reaches the target.
 */
// mutation: NO_WAIT_OUT
// mutation: NO_LEASE_CHECK
// mutation: LEASE_IN_PLACE_OF_ORDER_CHECK
// mutation: NO_LOST_WAIT
// mutation: NO_SAME_NUMBER_WAIT
// progress: reaches_target

#define MAX_VERSION 2
#define MAX_LAPSES 2
#define MAX_LOSSES 1
#define NOBODY 2
#define AGE(fence, order) ((fence) * 16 + (order))

mtype = { none, valid, lapsed };
mtype = { out, settling, unread, reading, ready, ordered, superseded };

/* The platform: the key's owner, its created revision, the leases. */
byte owner = NOBODY;
byte revision = 0;
mtype lease[2] = none;
/* The not_after time of the current order has not passed. Acquiring the lease
   again does not make the order valid again. */
bool is_order_valid[2] = false;
/* Orders that were decided but not written to the socket yet; the thread that
   writes them may be paused independently of the holder. 0: none. */
byte outbox_age[2] = 0;
byte outbox_version[2] = 0;
byte lapses = 0;

/* Orders in transit to the upstream (age and version); they may arrive in any
   sequence. */
chan way = [2] of { byte, byte };
byte losses = 0;

/* The upstream. */
bool checks_fencing;
byte version = 0;
byte loading_age = 0;
byte loading_version = 0;
byte seen_fence = 0;
byte newest_age = 0;

byte target = 1;

/* Ends leases: a lease lapses for its holder before the platform removes it. */
proctype platform() {
end:
    do
    :: atomic { lapses < MAX_LAPSES && lease[0] == valid ->
                lease[0] = lapsed;
                is_order_valid[0] = false; lapses++ }
    :: atomic { lapses < MAX_LAPSES && lease[1] == valid ->
                lease[1] = lapsed;
                is_order_valid[1] = false; lapses++ }
    :: atomic { lease[0] == lapsed ->
                lease[0] = none; if :: owner == 0 -> owner = NOBODY
                                    :: else fi }
    :: atomic { lease[1] == lapsed ->
                lease[1] = none; if :: owner == 1 -> owner = NOBODY
                                    :: else fi }
    od
}

proctype operator_process() {
    do
    :: target < MAX_VERSION -> target++
    :: target == MAX_VERSION -> break
    od
}

proctype upstream() {
    byte age; byte wanted;
end:
    do
    /* Any order in transit may arrive next. */
    :: atomic { loading_age == 0 && nempty(way) -> way ? age, wanted;
        if
        :: len(way) > 0 -> way ! age, wanted; way ? age, wanted
        :: true
        fi;
        if
        :: losses < MAX_LOSSES -> losses++
        :: checks_fencing && age / 16 < seen_fence
        :: !(checks_fencing && age / 16 < seen_fence) ->
            seen_fence = age / 16;
            loading_age = age;
            loading_version = wanted
        fi;
        age = 0; wanted = 0 }
    :: atomic { loading_age != 0 ->
        assert(loading_age >= newest_age);
        newest_age = loading_age;
        version = loading_version;
        loading_age = 0;
        loading_version = 0 }
    od
}

#if defined(NO_LEASE_CHECK)
#define may_hand_over true
#elif defined(LEASE_IN_PLACE_OF_ORDER_CHECK)
#define may_hand_over (lease[self] == valid)
#else
#define may_hand_over (is_order_valid[self])
#endif
#ifdef LEASE_IN_PLACE_OF_ORDER_CHECK
#define is_dropped false
#else
#define is_dropped true
#endif
#define is_quiet (empty(way) && loading_age == 0)

/* Writes orders to the socket. */
proctype sender(byte self) {
end:
    do
    :: atomic { outbox_age[self] != 0 && may_hand_over && nfull(way) ->
        way ! outbox_age[self], outbox_version[self];
        outbox_age[self] = 0; outbox_version[self] = 0;
        is_order_valid[self] = false }
    :: atomic { outbox_age[self] != 0 && !may_hand_over && is_dropped ->
        outbox_age[self] = 0; outbox_version[self] = 0 }
    od
}

proctype holder(byte self) {
    mtype state = out;
    byte fence = 0;
    byte last_fence = 0;
    byte orders = 0;
    byte seen = 0;
end:
    do
    /* Claims the scope. The answer may be lost; the key names the holder. */
    :: atomic { state == out && owner == NOBODY && lease[self] == none ->
        lease[self] = valid; owner = self; revision++ }
    /* A late renewal: the holder has the same key again, and therefore the same
       fencing number. */
    :: atomic { state == out && owner == self && lease[self] == lapsed ->
        lease[self] = valid }
    :: atomic { state == out && owner == self && lease[self] == valid ->
        fence = revision;
        if
        :: fence != last_fence -> orders = 0
        :: else
        fi;
        state = settling }
    /* lease_lost: detected before any other decision. */
    :: atomic { state != out && lease[self] != valid ->
        last_fence = fence; state = out; seen = 0 }

    /* settled */
    :: atomic { state == settling && lease[self] == valid ->
        if
#ifndef NO_WAIT_OUT
        :: !checks_fencing && is_quiet -> state = unread
#else
        :: !checks_fencing -> state = unread
#endif
        :: checks_fencing && fence != last_fence -> state = unread
#ifndef NO_SAME_NUMBER_WAIT
        :: checks_fencing && fence == last_fence && is_quiet -> state = unread
#else
        :: checks_fencing && fence == last_fence -> state = unread
#endif
        fi }
    /* read_sent, then state_read, still_loading or fenced */
    :: atomic { state == unread && lease[self] == valid -> state = reading }
    :: atomic { state == reading && lease[self] == valid &&
                loading_age == 0 ->
        if
        :: checks_fencing && seen_fence > fence -> state = superseded
        :: else -> seen = version; state = ready
        fi }

    /* order_sent: the decision; the order is written to the socket later. */
    :: atomic { state == ready && lease[self] == valid && seen < target &&
                outbox_age[self] == 0 ->
        orders++;
        outbox_age[self] = AGE(fence, orders);
        outbox_version[self] = target;
        is_order_valid[self] = true;
        state = ordered }
    /* order_unsent: the order is no longer valid. */
    :: atomic { state == ordered && outbox_age[self] != 0 &&
                !is_order_valid[self] ->
        state = unread }
    /* order_done: the answer to this holder's own order */
    :: atomic { state == ordered && newest_age == AGE(fence, orders) ->
        seen = version; state = ready }
    /* order_lost; then the state is read from the upstream */
    :: atomic { state == ordered && outbox_age[self] == 0 && is_quiet &&
                newest_age != AGE(fence, orders) ->
        state = unread }
#ifdef NO_LOST_WAIT
    :: atomic { state == ordered && outbox_age[self] == 0 -> state = unread }
#endif
    od
}

init {
    atomic {
        if :: checks_fencing = true :: checks_fencing = false fi;
        run platform(); run operator_process(); run upstream();
        run holder(0); run holder(1); run sender(0); run sender(1)
    }
}

ltl reaches_target { <> (version == MAX_VERSION) }
