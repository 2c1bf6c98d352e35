/*
 * Model of configuration revisions. It checks that an accepted change is contained
 * in every later revision and is applied once, and that an instance never returns
 * to an older revision while it runs.
 *
 * Every operator applies one change, which the document lists by its ID. The
 * response to a write may be lost, reads may return a replica that is one write
 * behind, and an operator may stop at any step and submit its change again. An
 * instance gets revisions from the store, from a stale replica or from its peer. A
 * process that takes no further step models a crash or a pause; an instance that
 * restarts loses its revision.
 *
 * With any of these switches the search must find a counterexample:
 * BREAK_CONDITION, BREAK_READBACK, BREAK_REBASE, BREAK_ORDER.
 */
#ifndef OPERATORS
#define OPERATORS 3
#endif
#ifndef TRIES
#define TRIES 3
#endif
#define INSTANCES 2
#define RESTARTS  1

/* content[r] is the set of changes in revision r, as a bit mask; revision 0 is empty. */
byte content[OPERATORS * TRIES + 2];
byte current;                     /* the latest revision in the store */
byte accepted;                    /* the changes reported as accepted to their operators */
byte applied[OPERATORS + 1];      /* how many times each change was added to the document */
byte active_revision[INSTANCES];  /* the active revision of each instance */

#define change_bit(n) (1 << (n))

inline read(r) {
	if
	:: r = current
	:: current > 0 -> r = current - 1
	fi
}

inline write_revision(changes) {
	current++;
	content[current] = (changes);
	assert((accepted & ~(changes)) == 0);
	if
	:: ((changes) & change_bit(me)) && !(content[current - 1] & change_bit(me)) -> applied[me]++; assert(applied[me] <= 1)
	:: else -> skip
	fi
}

#ifdef BREAK_CONDITION
#define holds(r) true
#else
#define holds(r) (current == r)
#endif

proctype Operator(byte me) {
	byte base, changes, tries;

again:
	atomic {
		if
		:: tries == TRIES -> goto end
		:: tries < TRIES -> tries++
		fi;
#ifdef BREAK_REBASE
		/* After a conflict, retry at the new version with the old content. */
		if
		:: tries == 1 -> read(base); changes = content[base]
		:: tries > 1 -> read(base)
		fi
#else
		read(base);
		changes = content[base]
#endif
	};
#ifndef BREAK_READBACK
	if
	:: changes & change_bit(me) -> goto accepted_change /* written earlier, or submitted again */
	:: else -> skip
	fi;
#endif
	atomic {
		if
		:: holds(base) -> write_revision(changes | change_bit(me)); goto accepted_change
		:: holds(base) -> write_revision(changes | change_bit(me)); goto again /* the response is lost */
		:: goto again /* the write is lost */
		:: current != base -> goto again
#ifdef BREAK_READBACK
		:: goto accepted_change /* an error treated as success */
#endif
		fi
	};
accepted_change:
	atomic {
		accepted = accepted | change_bit(me);
		assert(content[current] & change_bit(me))
	};
end:
	skip
}

proctype Instance(byte me) {
	byte received, restarts;
	do
	:: atomic {
		if
		:: read(received)
		:: received = active_revision[1 - me] /* received from the peer */
		fi
	};
	atomic {
#ifdef BREAK_ORDER
		if
		:: true ->
#else
		if
		:: received > active_revision[me] ->
#endif
			assert(received >= active_revision[me]);
			active_revision[me] = received
#ifndef BREAK_ORDER
		:: received <= active_revision[me] -> skip
#endif
		fi;
		assert(active_revision[me] <= current);
		received = 0
	}
	:: atomic { restarts < RESTARTS -> restarts++; active_revision[me] = 0 }
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
