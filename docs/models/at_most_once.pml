/* At most one run of a non-idempotent call, over two instances, a caller that
 * sends attempts 1..3 anywhere, a platform's store that loses answers, peers
 * whose messages are lost, and instances that die and forget everything.
 * Mechanism: servers/delivery/key_ledger and attempt_gate. The right to run is
 * one token; attempt 1 (or the created claim) makes it.
 *
 * transition: begin grant refuse finish fail hand_over
 * not modelled: adopt note_claim
 */
// mutation: RUN_ON_TIMEOUT
// mutation: HAND_OVER_TWICE
// mutation: NOT_RUN_AFTER_SEND
// mutation: RUN_FORGOTTEN
// mutation: CLAIM_WITHOUT_READ_BACK
// mutation: KEEP_CLAIM
// mutation: HAND_OVER_UNNAMED

#define NODES 2
#define SENDINGS 3
#define DROPPED 3 /* claimed under a nonce that nobody knows any more */

mtype = { forgotten, asking, running, not_run, finished, unknown,
          transferred, elsewhere };

mtype state[NODES] = forgotten;
byte attempt[NODES];
bool begun[NODES];       /* bytes of the run here were handed to a socket */
byte asks[NODES];        /* attempt of an ask under way to this node, 0: none */
bool granted[NODES];     /* a right under way to this node */
bool wants_claim[NODES]; /* a compare-and-swap of this node is under way */
byte claim = 0;          /* the store: 0 none, else claimant + 1 */
byte begun_count = 0;
byte sent = 0;
bool is_numbered;

inline begin_run(n) { state[n] = running; begun[n] = false }

inline begin(n) {
    sent++;
    if
    :: state[n] == forgotten && is_numbered && sent == 1 -> begin_run(n)
    :: state[n] == forgotten && !(is_numbered && sent == 1) ->
#ifdef RUN_FORGOTTEN
        begin_run(n)
#else
        state[n] = asking; wants_claim[n] = !is_numbered
#endif
    :: state[n] == transferred || state[n] == elsewhere ->
        state[n] = asking; wants_claim[n] = !is_numbered
    :: state[n] == not_run && is_numbered -> begin_run(n)
    :: state[n] == not_run && !is_numbered ->
        state[n] = asking; wants_claim[n] = true
    :: else -> skip /* answered from the record, or in progress */
    fi;
    attempt[n] = sent
}

inline ask(n) { asks[1 - n] = attempt[n] }

inline hand_over(n) { /* n holds the right, the other one asked for it */
    if
#ifdef HAND_OVER_UNNAMED
    :: state[n] == not_run ->
#else
    /* An unnumbered ask names the claim that it has read in the store. */
    :: state[n] == not_run && (is_numbered || claim == n + 1) ->
#endif
#ifndef HAND_OVER_TWICE
        state[n] = transferred;
#endif
#ifndef KEEP_CLAIM
        if /* the claim names a nonce that this instance has dropped */
        :: claim == n + 1 -> claim = DROPPED
        :: else -> skip
        fi;
#endif
        granted[1 - n] = true
    :: else -> skip
    fi;
    asks[n] = 0
}

inline grant(n) {
    if
    :: state[n] == asking -> begin_run(n)
    :: else -> skip /* the search has ended: the right is lost */
    fi;
    granted[n] = false
}

inline refuse(n) {
    if
#ifdef RUN_ON_TIMEOUT
    :: is_numbered -> begin_run(n)
#else
    :: is_numbered -> state[n] = elsewhere
#endif
    :: !is_numbered -> /* the claim may be ours and still under way */
        state[n] = not_run
    fi
}

/* The store decides a claim. Its answer may be lost: then it is read back. */
inline decide_claim(n) {
    if
    :: claim == 0 -> claim = n + 1
    :: else -> skip
    fi
}

inline learn_claim(n) {
    if
    :: state[n] != asking -> skip
#ifdef CLAIM_WITHOUT_READ_BACK
    :: state[n] == asking -> begin_run(n); wants_claim[n] = false
#else
    :: state[n] == asking && claim == n + 1 ->
        begin_run(n); wants_claim[n] = false
    :: state[n] == asking && claim != n + 1 && claim != 0 ->
        wants_claim[n] = false; asks[1 - n] = attempt[n]
#endif
    :: state[n] == asking && claim == 0 -> skip
    fi
}

inline hand_bytes(n) {
    begun[n] = true;
    begun_count++;
    assert(begun_count <= 1)
}

inline finish(n) { state[n] = finished }

inline fail_unknown(n) { state[n] = unknown }

inline fail_not_run(n) {
    state[n] = not_run;
    assert(begun_count == 0)
}

/* Death: the records are gone; what was under way to it is lost. A claim by
 * the dead has a nonce that its next life does not know. */
inline die(n) {
    state[n] = forgotten; begun[n] = false; attempt[n] = 0;
    asks[n] = 0; granted[n] = false; wants_claim[n] = false;
    if
    :: claim == n + 1 -> claim = DROPPED
    :: else -> skip
    fi
}

proctype instance(byte n) {
    do
    :: atomic { sent < SENDINGS -> begin(n) }
    :: atomic { state[n] == asking && is_numbered -> ask(n) }
    :: atomic { asks[n] != 0 -> hand_over(n) }
    :: atomic { asks[n] != 0 -> asks[n] = 0 }       /* the ask is lost */
    :: atomic { granted[n] -> grant(n) }
    :: atomic { granted[n] -> granted[n] = false }  /* the right is lost */
    :: atomic { state[n] == asking -> refuse(n) }   /* timeout */
    :: atomic { wants_claim[n] -> decide_claim(n) } /* perhaps late */
    :: atomic { wants_claim[n] -> learn_claim(n) }
    :: atomic { state[n] == running && !begun[n] -> hand_bytes(n) }
    :: atomic { state[n] == running && begun[n] -> finish(n) }
    :: atomic { state[n] == running && begun[n] -> fail_unknown(n) }
#ifdef NOT_RUN_AFTER_SEND
    :: atomic { state[n] == running -> fail_not_run(n) }
#else
    :: atomic { state[n] == running && !begun[n] -> fail_not_run(n) }
#endif
    :: atomic { sent > 0 -> die(n) }
    od
}

init {
    atomic {
        if
        :: is_numbered = true
        :: is_numbered = false
        fi;
        run instance(0);
        run instance(1)
    }
}
