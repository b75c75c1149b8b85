/*
 * Distribution of the revisions of one service. A watcher reads the store. A
 * follower receives revisions from peers only, possibly duplicated, reordered
 * and stale. It restarts next to a peer that has recorded its claim but may
 * have no documents. No instance ever serves an older revision than it has
 * served before.
 *
 * The names are those of the code: apply (configuration_table), claim
 * (configuration_gossip) and floor (cold_start). Not in the model: a restart
 * before the claim has reached any peer that answers at the next start; see
 * docs/design/configuration.md.
 */

// mutation: APPLY_ANY
// mutation: NO_FLOOR

#define LAST_REVISION 4
#define MAX_RESTARTS 2

byte revision = 1;

/* Revisions that some instance has sent to peers; each may arrive at any time,
   any number of times. */
bool passed_on[LAST_REVISION + 1];

/* The follower has finished its cold start. */
bool is_serving;

/* Publishes that took effect; docs/models/publish_race.pml models how. */
proctype store() {
    do
    :: revision < LAST_REVISION -> revision++
    :: break
    od
}

inline apply(held, offered) {
#ifdef APPLY_ANY
    held = offered;
#else
    if
    :: offered > held -> held = offered
    :: else
    fi;
#endif
}

/* Reads the store; deltas of other instances may arrive between a read and its
   answer. */
proctype watcher() {
    byte held;
    byte highest;
    byte answer;
    byte heard;
    do
    :: atomic { answer == 0 -> answer = revision }
    :: atomic { answer != 0 -> apply(held, answer); answer = 0 }
    :: answer != 0 -> answer = 0
    :: atomic {
        select(heard : 1 .. LAST_REVISION);
        if
        :: passed_on[heard] -> apply(held, heard)
        :: else
        fi;
        heard = 0
       }
    :: atomic { held != 0 && !passed_on[held] -> passed_on[held] = true }
    :: atomic {
        held != highest ->
            assert(held > highest);
            highest = held
       }
    od
}

/* Receives revisions from peers only, and restarts while the store is
   unreachable. */
proctype follower() {
    byte held;
    byte served;
    byte claim_kept; /* recorded by the peer that answers at the next start */
    byte floor;
    byte heard;
    byte restarts;
    bool has_answer;
    do
    :: atomic {
        select(heard : 1 .. LAST_REVISION);
        if
        :: passed_on[heard] -> apply(held, heard)
        :: else
        fi;
        heard = 0;
        if
        :: is_serving ->
            assert(held >= served);
            served = held
        :: else
        fi
       }
    :: atomic { is_serving && claim_kept != served -> claim_kept = served }
    :: atomic {
        restarts < MAX_RESTARTS && is_serving && claim_kept == served ->
            restarts++;
            held = 0;
            floor = 0;
            is_serving = false;
            has_answer = false
       }
    :: atomic {
        !is_serving && !has_answer ->
            has_answer = true;
#ifndef NO_FLOOR
            floor = claim_kept
#endif
       }
    :: atomic {
        !is_serving && has_answer && held >= floor ->
            is_serving = true;
            assert(held >= served);
            served = held
       }
    od
}

init {
    atomic {
        run store();
        run watcher();
        run follower()
    }
}
