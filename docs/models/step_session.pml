/* One step of two slots, a trainer that connects up to three times, and one
 * session per connection, each on an instance that may crash or be paused.
 * Older sessions continue next to the newest one until they learn of it.
 * Mechanism: servers/delivery/step_session. The trainer's record of received
 * samples is authoritative.
 *
 * transition: present run finish discard hand_over
 * transition: end_complete hear_newer_epoch lose_trainer
 * not modelled: refuse end_incomplete pass_deadline
 */
// mutation: IGNORE_BITMAP
// mutation: HAND_OVER_AGAIN
// mutation: END_EARLY
// mutation: GUESS_VERSION
// mutation: ACCEPT_OLD_EPOCH
// progress: step_ends

#define SLOTS 2
#define EPOCHS 3
#define MAX_FAULTS 3

mtype = { waiting, running, ready, handed_over, held };
mtype = { none, open, complete, superseded, abandoned };

typedef session_record {
    mtype step = none;
    mtype slot[SLOTS];
    bool label_known[SLOTS];
    byte given[SLOTS];
};
session_record session[EPOCHS];

byte epoch = 0;            /* the trainer's newest connection */
byte received[SLOTS];      /* samples that the trainer received */
bool mislabelled = false;
bool step_done = false;
byte faults = 0;

#define all_received (received[0] == 1 && received[1] == 1)
#define is_through(e, s) (session[e].slot[s] == handed_over || \
                          session[e].slot[s] == held)

ltl step_ends { [] ((faults == MAX_FAULTS) -> <> step_done) }

inline connect() {
    d_step {
        session[epoch].step = open;
        i = 0;
        do
        :: i < SLOTS ->
            session[epoch].slot[i] = waiting;
#ifndef IGNORE_BITMAP
            if
            :: received[i] > 0 -> session[epoch].slot[i] = held /* present */
            :: else -> skip
            fi;
#endif
            i++
        :: else -> break
        od;
        i = 0;
        epoch++
    }
}

/* The trainer accepts samples on its newest connection only. */
inline hand_over(e, s) {
    session[e].given[s]++;
    assert(session[e].given[s] <= 1);
#ifndef HAND_OVER_AGAIN
    session[e].slot[s] = handed_over;
#endif
    if
#ifdef ACCEPT_OLD_EPOCH
    :: true ->
#else
    :: e + 1 == epoch ->
#endif
        received[s]++;
        assert(received[s] <= 1);
        mislabelled = mislabelled || !session[e].label_known[s];
        assert(!mislabelled)
    :: else -> skip
    fi
}

inline end_complete(e) {
    session[e].step = complete;
    if
    :: e + 1 == epoch -> assert(all_received); step_done = true
    :: else -> skip
    fi
}

proctype serve(byte e) {
    byte s;
    do
    :: atomic { session[e].step == open && session[e].slot[0] == waiting ->
                session[e].slot[0] = running }                       /* run */
    :: atomic { session[e].step == open && session[e].slot[1] == waiting ->
                session[e].slot[1] = running }
    :: atomic { session[e].step == open && session[e].slot[0] == running ->
                session[e].slot[0] = ready;                       /* finish */
                session[e].label_known[0] = true }
    :: atomic { session[e].step == open && session[e].slot[1] == running ->
                session[e].slot[1] = ready;
                session[e].label_known[1] = true }
    /* discard: the answer is truncated, belongs to another request, has no
       weight version, or has one that is too old. */
    :: atomic { session[e].step == open && session[e].slot[0] == running &&
                faults < MAX_FAULTS ->
                faults++;
#ifdef GUESS_VERSION
                session[e].label_known[0] = false;
                session[e].slot[0] = ready
#else
                session[e].slot[0] = waiting                     /* discard */
#endif
              }
    :: atomic { session[e].step == open && session[e].slot[0] == ready ->
                s = 0; hand_over(e, s) }
    :: atomic { session[e].step == open && session[e].slot[1] == ready ->
                s = 1; hand_over(e, s) }
#ifdef END_EARLY
    :: atomic { session[e].step == open && is_through(e, 0) ->
#else
    :: atomic { session[e].step == open && is_through(e, 0) &&
                is_through(e, 1) ->
#endif
                end_complete(e) }
    /* hear_newer_epoch: through a peer's message or a closed connection. */
    :: atomic { session[e].step == open && e + 1 < epoch ->
                session[e].step = superseded }
    :: session[e].step == complete || session[e].step == superseded ||
       session[e].step == abandoned -> break
    od
}

/* Each fault (crash or pause of the instance, lost connection) makes the
   trainer connect again. */
init {
    byte i;
    atomic { connect(); run serve(0) }
    do
    :: atomic { faults < MAX_FAULTS && epoch < EPOCHS && !step_done ->
                faults++; connect(); run serve(epoch - 1) }
    /* The instance crashes (lose_trainer), and the trainer connects again. */
    :: atomic { faults < MAX_FAULTS && epoch < EPOCHS && !step_done ->
                faults++; session[epoch - 1].step = abandoned;
                connect(); run serve(epoch - 1) }
    :: step_done -> break
    /* Fewer faults than MAX_FAULTS: the remaining ones don't happen. */
    :: atomic { faults < MAX_FAULTS -> faults++ }
    od
}
