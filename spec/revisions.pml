/*
 * Configuration revisions: a change that was accepted is in every later revision,
 * is applied once, and an instance never goes back while it runs.
 *
 * Every operator applies one change, which the document lists by its ID. The
 * answer to a write may be lost, reads may come from a replica one write behind,
 * and the operator may give up at any step and receive its own change again. An
 * instance learns revisions from the store, from an old replica or from its peer.
 * A crash or a pause is a process that takes no further step; an instance that
 * restarts has lost its revision.
 *
 * Switches that must break the model: BREAK_CONDITION, BREAK_READBACK,
 * BREAK_REBASE, BREAK_ORDER.
 */
#ifndef OPERATORS
#define OPERATORS 3
#endif
#ifndef TRIES
#define TRIES 3
#endif
#define INSTANCES 2
#define RESTARTS  1

/* content[r] is the set of changes in revision r; revision 0 has none. */
byte content[OPERATORS * TRIES + 2];
byte current;                    /* the newest revision in the store */
byte accepted;                   /* the changes whose operator was told "accepted" */
byte applied[OPERATORS + 1];     /* how often a change was added to the document */
byte inforce[INSTANCES];

#define change(n) (1 << (n))

inline read(r) {
	if
	:: r = current
	:: current > 0 -> r = current - 1
	fi
}

inline store(set) {
	current++;
	content[current] = (set);
	assert((accepted & ~(set)) == 0);
	if
	:: ((set) & change(me)) && !(content[current - 1] & change(me)) -> applied[me]++; assert(applied[me] <= 1)
	:: else -> skip
	fi
}

#ifdef BREAK_CONDITION
#define holds(r) true
#else
#define holds(r) (current == r)
#endif

proctype Operator(byte me) {
	byte base, set, tries;

again:
	atomic {
		if
		:: tries == TRIES -> goto end
		:: tries < TRIES -> tries++
		fi;
#ifdef BREAK_REBASE
		/* A conflict is retried on the new version with the old content. */
		if
		:: tries == 1 -> read(base); set = content[base]
		:: tries > 1 -> read(base)
		fi
#else
		read(base);
		set = content[base]
#endif
	};
#ifndef BREAK_READBACK
	if
	:: set & change(me) -> goto accept    /* a lost answer, or received again */
	:: else -> skip
	fi;
#endif
	atomic {
		if
		:: holds(base) -> store(set | change(me)); goto accept
		:: holds(base) -> store(set | change(me)); goto again   /* the answer is lost */
		:: goto again                                           /* the write is lost */
		:: current != base -> goto again
#ifdef BREAK_READBACK
		:: goto accept                                          /* an error taken for success */
#endif
		fi
	};
accept:
	atomic {
		accepted = accepted | change(me);
		assert(content[current] & change(me))
	};
end:
	skip
}

proctype Instance(byte me) {
	byte seen, restarts;
	do
	:: atomic {
		if
		:: read(seen)
		:: seen = inforce[1 - me]         /* told by the peer */
		fi
	};
	atomic {
#ifdef BREAK_ORDER
		if
		:: true ->
#else
		if
		:: seen > inforce[me] ->
#endif
			assert(seen >= inforce[me]);
			inforce[me] = seen
#ifndef BREAK_ORDER
		:: seen <= inforce[me] -> skip
#endif
		fi;
		assert(inforce[me] <= current);
		seen = 0
	}
	:: atomic { restarts < RESTARTS -> restarts++; inforce[me] = 0 }
	od
}

init {
	byte i;
	atomic {
		i = 1;
		do
		:: i <= OPERATORS -> run Operator(i - 1); i++
		:: i > OPERATORS -> break
		od;
		run Instance(0);
		run Instance(1)
	}
}
