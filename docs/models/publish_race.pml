/*
 * Two operators publish one service by compare-and-swap. Calls to the store may
 * fail before or after their effect, and a request that failed may still take
 * effect later. No publish takes effect twice. If an operator gets the result
 * "accepted", the publish took effect; if the result is "conflict", it did not
 * and never will.
 *
 * The labels are the phases in servers/configuration/publish_protocol.hpp. The
 * test of that class compares the transitions listed here with those that the
 * code takes.
 */

// mutation: REPUBLISH_AFTER_LOSS
// mutation: NO_ID_CHECK

// transition: reading -> reading
// transition: reading -> swapping
// transition: reading -> finished
// transition: swapping -> checking
// transition: swapping -> finished
// transition: checking -> checking
// transition: checking -> swapping
// transition: checking -> finished

#define OPERATORS 2
#define MAX_REVISION 6
#define MAX_LOSSES 3

/* The store: its revision, the writer of each revision, pending requests. */
byte revision = 1;
byte writer[MAX_REVISION + 1];
byte under_way[OPERATORS + 1];

/* How often each publish took effect, and the results that operators got. */
byte effects[OPERATORS + 1];
bool told_accepted[OPERATORS + 1];
bool told_conflict[OPERATORS + 1];

inline swap(id, expected) {
    if
    :: revision == expected ->
        revision++;
        writer[revision] = id;
        effects[id]++;
        assert(effects[id] <= 1);
        assert(!told_conflict[id])
    :: else
    fi
}

proctype operator(byte id) {
    byte expected;
    byte seen;
    byte losses;
    bool is_found;

reading:
    if
    :: atomic { expected = revision; goto swapping }
    :: losses < MAX_LOSSES -> losses++; goto reading
    :: goto finished /* the deadline has passed; nothing was written */
    fi;

swapping:
    if
    :: atomic {
        if
        :: revision == expected ->
            swap(id, expected);
            told_accepted[id] = true;
            goto finished
        :: else -> goto judging
        fi
       }
    :: losses < MAX_LOSSES ->
        atomic { losses++; swap(id, expected); goto checking }
    :: losses < MAX_LOSSES ->
        atomic { losses++; goto checking }
    :: losses < MAX_LOSSES ->
        atomic { losses++; under_way[id] = expected; goto checking }
    fi;

checking:
#ifdef REPUBLISH_AFTER_LOSS
    goto reading;
#endif
    if
    :: atomic { revision == expected -> goto swapping }
    :: atomic { revision != expected -> goto judging }
    :: losses < MAX_LOSSES -> losses++; goto checking
    :: goto finished /* the deadline has passed; the result is unknown */
    fi;

judging:
    atomic {
        is_found = false;
#ifndef NO_ID_CHECK
        seen = expected + 1;
        do
        :: seen <= revision ->
            is_found = is_found || writer[seen] == id;
            seen++
        :: else -> break
        od;
#endif
        if
        :: is_found -> told_accepted[id] = true
        :: else -> told_conflict[id] = true
        fi
    };

finished:
    atomic {
        assert(!told_accepted[id] || effects[id] == 1);
        assert(!told_conflict[id] || effects[id] == 0);
        seen = 0
    }
}

/* Requests whose answer was lost take effect late or never. */
proctype network() {
end:
    do
    :: atomic { under_way[1] != 0 -> swap(1, under_way[1]); under_way[1] = 0 }
    :: atomic { under_way[2] != 0 -> swap(2, under_way[2]); under_way[2] = 0 }
    :: atomic { under_way[1] != 0 -> under_way[1] = 0 }
    :: atomic { under_way[2] != 0 -> under_way[2] = 0 }
    od
}

init {
    atomic {
        run operator(1);
        run operator(2);
        run network()
    }
}
