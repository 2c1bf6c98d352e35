/*
 * At most once: the record of one key in a shard of the Object API.
 *
 * Every process is one receipt of the same key, at an instance of its own, with
 * an attempt ID of its own. Keys are independent but for the condition of a
 * write, which the model covers by letting other receipts write in between, so
 * one key is modelled. A crash or a pause of any length is a process that takes
 * no further step, which the search covers at every state. The caller of a
 * receipt may be told "not run" at any time: no clock is modelled.
 *
 * Bounds: RECEIPTS attempts, TRIES reads for each claim and outcome, one write
 * in flight that lands late per receipt, reads from a replica one write behind.
 *
 * Switches that must break the model: BREAK_CONDITION, BREAK_READBACK,
 * BREAK_TAKEOVER, BREAK_HORIZON, BREAK_ABANDON, BREAK_RESEND.
 */
#ifndef RECEIPTS
#define RECEIPTS 3
#endif
#ifndef TRIES
#define TRIES 2
#endif

/* phases of a record */
#define ABSENT   0
#define CLAIMED  1
#define DONE     2
#define RELEASED 3
#define UNKNOWN  4

/* phases of an attempt's right to send, as in internal/ledger/claim.go */
#define NONE      0
#define HELD      1
#define SENT      2
#define ABANDONED 3

/* results of a conditional write */
#define OK       0
#define CONFLICT 1
#define LOST     2

typedef Object { byte ver; byte phase; byte att; bit opened };
typedef Write { bit waiting; byte expect; byte phase; bit opened };

Object obj;                    /* the object, version 0 if it does not exist */
Object rep;                    /* what an old replica shows */
bit horizon;                   /* the slice of the key lies below the horizon */

Write late[RECEIPTS + 1];      /* writes that may land later */
byte v[RECEIPTS + 1];          /* the version that a receipt has read */
byte confirmed[RECEIPTS + 1];  /* the version at which a receipt saw the horizon */
byte right[RECEIPTS + 1];
bit flying[RECEIPTS + 1];      /* a request is on its way to the target */
bit ran[RECEIPTS + 1];
bit notrun[RECEIPTS + 1];      /* the caller was told "not run" */
byte runs;

/* Versions are only compared, so a number that nobody remembers is used again. */
#if RECEIPTS == 2
#define remembered(n) (obj.ver == n || rep.ver == n || v[1] == n || v[2] == n || \
	confirmed[1] == n || confirmed[2] == n || late[1].expect == n || late[2].expect == n)
#else
#define remembered(n) (obj.ver == n || rep.ver == n || v[1] == n || v[2] == n || v[3] == n || \
	confirmed[1] == n || confirmed[2] == n || confirmed[3] == n || \
	late[1].expect == n || late[2].expect == n || late[3].expect == n)
#endif

inline forget(r) {
	late[r].waiting = 0; late[r].expect = 0; late[r].phase = 0; late[r].opened = 0
}

/* A late write whose version is gone can never land. */
#ifdef BREAK_CONDITION
#define drop_late(r) skip
#else
#define drop_late(r) \
	if \
	:: late[r].waiting && late[r].expect != 0 && late[r].expect != obj.ver -> forget(r) \
	:: else -> skip \
	fi
#endif

inline show_old() {
#ifdef STALE
	rep.ver = obj.ver; rep.phase = obj.phase; rep.att = obj.att; rep.opened = obj.opened
#else
	skip
#endif
}

inline store(to_phase, by, is_opened) {
	show_old();
	fresh = 1;
	do
	:: remembered(fresh) -> fresh++
	:: else -> break
	od;
	obj.ver = fresh; obj.phase = to_phase; obj.att = by; obj.opened = is_opened;
	fresh = 0;
	drop_late(1); drop_late(2);
#if RECEIPTS > 2
	drop_late(3);
#endif
}

inline delete_object() {
	show_old();
	obj.ver = 0; obj.phase = ABSENT; obj.att = 0; obj.opened = 0;
	drop_late(1); drop_late(2);
#if RECEIPTS > 2
	drop_late(3);
#endif
}

#ifdef BREAK_CONDITION
#define holds(expect) true
#else
#define holds(expect) (obj.ver == expect)
#endif

/* put writes a phase for attempt me if the object is still at version v. */
inline put(want) {
	if
	:: holds(v[me]) -> store(want, me, opened); v[me] = obj.ver; result = OK
	:: holds(v[me]) -> store(want, me, opened); result = LOST
#ifdef LATE
	:: late[me].waiting -> result = LOST  /* the write is lost as well */
#else
	:: result = LOST
#endif
#ifdef LATE
	:: !late[me].waiting && holds(v[me]) -> /* the write lands later, or never */
		late[me].waiting = 1; late[me].expect = v[me]; late[me].phase = want; late[me].opened = opened;
		result = LOST
#endif
	:: obj.ver != v[me] -> result = CONFLICT
	fi
}

/* read copies the object, possibly from an old replica. */
inline read() {
	if
	:: v[me] = obj.ver; phase = obj.phase; att = obj.att; opened = obj.opened
#ifdef STALE
	:: rep.ver != obj.ver -> v[me] = rep.ver; phase = rep.phase; att = rep.att; opened = rep.opened
#endif
	fi
}

inline tell_not_run(r) {
	assert(!ran[r]);
	notrun[r] = 1
}

#ifdef BREAK_TAKEOVER
#define free_for_claim (phase == ABSENT || (phase == RELEASED && att != me) || (phase == CLAIMED && att != me))
#else
#define free_for_claim (phase == ABSENT || (phase == RELEASED && att != me))
#endif

proctype Receipt(byte me) {
	byte phase, att, result, tries, outcome, fresh;
	bit opened, resent;

claim:
	atomic {
		if
		:: tries == TRIES -> goto give_up
		:: tries < TRIES -> tries++
		fi;
		read();
		if
		:: free_for_claim -> phase = 0; att = 0
		:: att == me && phase == CLAIMED -> phase = 0; att = 0; goto confirm
		:: att == me && phase != CLAIMED -> phase = 0; att = 0; goto give_up
		:: else -> goto end                  /* done, in progress or unknown */
		fi
	};
	atomic {
		put(CLAIMED);
		if
		:: result == OK -> result = 0
		:: result == CONFLICT -> result = 0; goto claim
		:: result == LOST -> result = 0;
#ifndef BREAK_READBACK
			goto claim
#endif
		fi
	};
confirm:
	/* The claim is written. Its object must precede every sweep of its slice. */
#ifndef BREAK_HORIZON
	atomic {
		if
		:: opened -> skip
		:: !opened && !horizon -> opened = 1; confirmed[me] = v[me]
		:: !opened && horizon ->
			if
			:: obj.ver == v[me] -> delete_object()
			:: obj.ver != v[me] -> skip
			fi;
			goto give_up
		fi
	};
#endif
	atomic {
		tries = 0;
		if
		:: right[me] == NONE -> right[me] = HELD
		:: right[me] != NONE -> goto release
		fi
	};
send:
#ifdef BREAK_ABANDON
	right[me] == HELD;
	atomic { right[me] = SENT; flying[me] = 1 };
#else
	atomic {
		if
		:: right[me] == HELD -> right[me] = SENT; flying[me] = 1
		:: right[me] != HELD -> goto release
		fi
	};
#endif
	atomic {
		if
		:: ran[me] -> outcome = DONE         /* the answer came */
		:: outcome = UNKNOWN                 /* no answer came */
		/* provably not run: it may go to another target */
#ifdef BREAK_RESEND
		:: !resent -> resent = 1; right[me] = HELD; goto send
#else
		:: !resent && flying[me] -> flying[me] = 0; resent = 1; right[me] = HELD; goto send
#endif
		:: flying[me] -> flying[me] = 0; right[me] = ABANDONED; tell_not_run(me); goto release
		fi;
		goto settle
	};
give_up:
	atomic {
		tries = 0;
		if
		:: right[me] == NONE || right[me] == HELD -> right[me] = ABANDONED; tell_not_run(me)
		:: right[me] == ABANDONED -> skip
		fi
	};
release:
	outcome = RELEASED;
settle:
	atomic {
		if
		:: tries == TRIES -> goto end
		:: tries < TRIES -> tries++
		fi;
		read();
		if
		:: confirmed[me] != 0 && v[me] == confirmed[me] -> opened = 1
		:: else -> skip
		fi;
		if
		:: att == me && (phase == CLAIMED || (phase == UNKNOWN && outcome == DONE)) -> phase = 0; att = 0
		:: phase == ABSENT -> skip
		:: else -> goto end
		fi
	};
	atomic {
		put(outcome);
		if
		:: result == OK -> result = 0
		:: result != OK -> result = 0; goto settle
		fi
	};
end:
	atomic {
		v[me] = 0; confirmed[me] = 0; phase = 0; att = 0; result = 0; tries = 0; outcome = 0;
		opened = 0; resent = 0
	}
}

/* Target runs a request that is on its way, at any time. */
proctype Target() {
	byte r;
	do
	:: atomic {
		r = 1;
		do
		:: r <= RECEIPTS && flying[r] -> break
		:: r < RECEIPTS -> r++
		od;
		flying[r] = 0;
		ran[r] = 1;
		runs++;
		assert(runs <= 1);
		assert(!notrun[r]);
		r = 0
	}
	od
}

/* Network lands late writes, at any time, under their condition. */
proctype Network() {
	byte r, fresh;
	do
	:: atomic {
		r = 1;
		do
		:: r <= RECEIPTS && late[r].waiting -> break
		:: r < RECEIPTS -> r++
		od;
		if
		:: holds(late[r].expect) -> store(late[r].phase, r, late[r].opened)
		:: !holds(late[r].expect) -> skip
		fi;
		forget(r);
		r = 0
	}
	od
}

/* Callers' deadlines pass at any time: an attempt that was not sent is abandoned. */
proctype Deadline() {
	byte r;
	do
	:: atomic {
		r = 1;
		do
		:: r <= RECEIPTS && (right[r] == NONE || right[r] == HELD) -> break
		:: r < RECEIPTS -> r++
		od;
#ifndef BREAK_ABANDON
		right[r] = ABANDONED;
#endif
		tell_not_run(r);
		r = 0
	}
	od
}

/* Sweeper believes, rightly or not, that the slice is past its retention. It
 * deletes under the condition that the object is as it was read. */
proctype Sweeper() {
	byte n;
	horizon = 1;
	do
	:: atomic { n < 2 && obj.ver != 0 -> n++; delete_object() }
	od
}

init {
	byte i;
	atomic {
		i = 1;
		do
		:: i <= RECEIPTS -> run Receipt(i); i++
		:: i > RECEIPTS -> break
		od;
		run Target();
#ifdef LATE
		run Network();
#endif
		run Deadline();
#ifdef SWEEP
		run Sweeper()
#endif
	}
}
