/* A non-idempotent call runs at most once. The model has two instances, a
 * caller that sends attempts 1..3 to any of them, a platform's store whose
 * answers may be lost, peer messages that may be lost, and instances that crash
 * and lose their records.
 * Mechanism: servers/delivery/key_ledger and attempt_gate. The right to run is
 * a single token, created by attempt 1 or by the claim in the store.
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
#define DROPPED 3 /* claimed with a nonce that no instance has any more */

mtype = { forgotten, asking, running, not_run, finished, unknown,
          transferred, elsewhere };

mtype state[NODES] = forgotten;
byte attempt[NODES];
bool begun[NODES];       /* bytes of the run here were written to a socket */
byte asks[NODES];        /* attempt that requests the right here, 0: none */
bool granted[NODES];     /* a message that grants the right to this node */
bool wants_claim[NODES]; /* a compare-and-swap of this node is pending */
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
    :: else -> skip /* answered from the record, or still in progress */
    fi;
    attempt[n] = sent
}

inline ask(n) { asks[1 - n] = attempt[n] }

inline hand_over(n) { /* n has the right, and the other instance requested it */
    if
#ifdef HAND_OVER_UNNAMED
    :: state[n] == not_run ->
#else
    /* A request without an attempt number names the claim that it read in the
       store. */
    :: state[n] == not_run && (is_numbered || claim == n + 1) ->
#endif
#ifndef HAND_OVER_TWICE
        state[n] = transferred;
#endif
#ifndef KEEP_CLAIM
        if /* the claim has a nonce that this instance has dropped */
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
    :: else -> skip /* the node no longer waits for the right, which is lost */
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
    :: !is_numbered -> /* the claim may be this node's and still pending */
        state[n] = not_run
    fi
}

/* The store decides a claim. Its answer may be lost; then the key is read. */
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

/* A crash: the records and the messages to the instance are lost. Its claim has
 * a nonce that the instance does not know after its restart. */
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
    :: atomic { asks[n] != 0 -> asks[n] = 0 }       /* the request is lost */
    :: atomic { granted[n] -> grant(n) }
    :: atomic { granted[n] -> granted[n] = false }  /* the grant is lost */
    :: atomic { state[n] == asking -> refuse(n) }   /* timeout */
    :: atomic { wants_claim[n] -> decide_claim(n) } /* possibly late */
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
