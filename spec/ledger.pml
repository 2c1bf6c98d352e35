/*
 * Model of at-most-once execution: the record of one idempotency key in a shard
 * of the Object API.
 *
 * Every Request process is one request with the same key, at its own instance and
 * with its own attempt ID. Keys interact only through the version condition of a
 * write. The model covers that by letting other requests write in between, so one
 * key suffices. A process that takes no further step models a crash or a pause of
 * any length; the search covers it in every state. There is no clock: the caller
 * of a request may receive "not run" at any time.
 *
 * Bounds: RECEIPTS requests with one attempt each, TRIES reads for each claim and
 * outcome, one delayed write per request, reads from a replica that is one write
 * behind.
 *
 * With any of these switches the search must find a counterexample:
 * BREAK_CONDITION, BREAK_READBACK, BREAK_TAKEOVER, BREAK_HORIZON, BREAK_ABANDON,
 * BREAK_RESEND.
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

/* phases of an attempt's permission to send, as in internal/ledger/claim.go */
#define NONE      0
#define UNUSED    1
#define SENT      2
#define ABANDONED 3

/* results of a conditional write, as seen by the writer */
#define OK        0
#define CONFLICT  1
#define UNCERTAIN 2

typedef Object { byte version; byte phase; byte attempt; bit unswept };
typedef Write { bit pending; byte expected; byte phase; bit unswept };

Object object;                        /* the object, version 0 if it does not exist */
Object replica;                       /* the object as a stale replica returns it */
bit bucket_closed;                    /* the low watermark is above the bucket of the key */

Write late[RECEIPTS + 1];             /* delayed writes, which may still take effect */
byte read_version[RECEIPTS + 1];      /* the version that a request has read or written */
byte verified_version[RECEIPTS + 1];  /* the version at which a request found the object unswept */
byte permit[RECEIPTS + 1];
bit in_transit[RECEIPTS + 1];         /* the request is in transit to the target */
bit ran[RECEIPTS + 1];
bit reported_not_run[RECEIPTS + 1];   /* the caller received "not run" */
byte runs;

/* Versions are only compared, so a number that is no longer in use can be reused;
 * this keeps the state space finite. */
#if RECEIPTS == 2
#define version_in_use(n) (object.version == n || replica.version == n || read_version[1] == n || read_version[2] == n || \
	verified_version[1] == n || verified_version[2] == n || late[1].expected == n || late[2].expected == n)
#else
#define version_in_use(n) (object.version == n || replica.version == n || read_version[1] == n || read_version[2] == n || read_version[3] == n || \
	verified_version[1] == n || verified_version[2] == n || verified_version[3] == n || \
	late[1].expected == n || late[2].expected == n || late[3].expected == n)
#endif

inline clear_late(r) {
	late[r].pending = 0; late[r].expected = 0; late[r].phase = 0; late[r].unswept = 0
}

/* A delayed write whose expected version no longer exists can never take effect. */
#ifdef BREAK_CONDITION
#define drop_late(r) skip
#else
#define drop_late(r) \
	if \
	:: late[r].pending && late[r].expected != 0 && late[r].expected != object.version -> clear_late(r) \
	:: else -> skip \
	fi
#endif

inline update_replica() {
#ifdef STALE
	replica.version = object.version; replica.phase = object.phase; replica.attempt = object.attempt; replica.unswept = object.unswept
#else
	skip
#endif
}

inline store(stored_phase, holder, is_unswept) {
	update_replica();
	new_version = 1;
	do
	:: version_in_use(new_version) -> new_version++
	:: else -> break
	od;
	object.version = new_version; object.phase = stored_phase; object.attempt = holder; object.unswept = is_unswept;
	new_version = 0;
	drop_late(1); drop_late(2);
#if RECEIPTS > 2
	drop_late(3);
#endif
}

inline delete_object() {
	update_replica();
	object.version = 0; object.phase = ABSENT; object.attempt = 0; object.unswept = 0;
	drop_late(1); drop_late(2);
#if RECEIPTS > 2
	drop_late(3);
#endif
}

#ifdef BREAK_CONDITION
#define holds(expected) true
#else
#define holds(expected) (object.version == expected)
#endif

/* put writes a phase for attempt me if the object is still at the version read. */
inline put(new_phase) {
	if
	:: holds(read_version[me]) -> store(new_phase, me, unswept); read_version[me] = object.version; result = OK
	:: holds(read_version[me]) -> store(new_phase, me, unswept); result = UNCERTAIN
#ifdef LATE
	:: late[me].pending -> result = UNCERTAIN  /* this write is lost: only one can be delayed */
#else
	:: result = UNCERTAIN
#endif
#ifdef LATE
	:: !late[me].pending && holds(read_version[me]) -> /* the write takes effect later or never */
		late[me].pending = 1; late[me].expected = read_version[me]; late[me].phase = new_phase; late[me].unswept = unswept;
		result = UNCERTAIN
#endif
	:: object.version != read_version[me] -> result = CONFLICT
	fi
}

/* read copies the object, possibly from a stale replica. */
inline read() {
	if
	:: read_version[me] = object.version; phase = object.phase; attempt = object.attempt; unswept = object.unswept
#ifdef STALE
	:: replica.version != object.version -> read_version[me] = replica.version; phase = replica.phase; attempt = replica.attempt; unswept = replica.unswept
#endif
	fi
}

inline report_not_run(r) {
	assert(!ran[r]);
	reported_not_run[r] = 1
}

#ifdef BREAK_TAKEOVER
#define can_claim (phase == ABSENT || (phase == RELEASED && attempt != me) || (phase == CLAIMED && attempt != me))
#else
#define can_claim (phase == ABSENT || (phase == RELEASED && attempt != me))
#endif

proctype Request(byte me) {
	byte phase, attempt, result, tries, outcome, new_version;
	bit unswept, was_resent;

claim:
	atomic {
		if
		:: tries == TRIES -> goto abandon
		:: tries < TRIES -> tries++
		fi;
		read();
		if
		:: can_claim -> phase = 0; attempt = 0
		:: attempt == me && phase == CLAIMED -> phase = 0; attempt = 0; goto confirm
		:: attempt == me && phase != CLAIMED -> phase = 0; attempt = 0; goto abandon
		:: else -> goto end                  /* done, in progress or unknown */
		fi
	};
	atomic {
		put(CLAIMED);
		if
		:: result == OK -> result = 0
		:: result == CONFLICT -> result = 0; goto claim
		:: result == UNCERTAIN -> result = 0;
#ifndef BREAK_READBACK
			goto claim
#endif
		fi
	};
confirm:
	/* The claim is written. It is valid only if its object precedes every sweep of
	 * its bucket. */
#ifndef BREAK_HORIZON
	atomic {
		if
		:: unswept -> skip
		:: !unswept && !bucket_closed -> unswept = 1; verified_version[me] = read_version[me]
		:: !unswept && bucket_closed ->
			if
			:: object.version == read_version[me] -> delete_object()
			:: object.version != read_version[me] -> skip
			fi;
			goto abandon
		fi
	};
#endif
	atomic {
		tries = 0;
		if
		:: permit[me] == NONE -> permit[me] = UNUSED
		:: permit[me] != NONE -> goto release
		fi
	};
send:
#ifdef BREAK_ABANDON
	permit[me] == UNUSED;
	atomic { permit[me] = SENT; in_transit[me] = 1 };
#else
	atomic {
		if
		:: permit[me] == UNUSED -> permit[me] = SENT; in_transit[me] = 1
		:: permit[me] != UNUSED -> goto release
		fi
	};
#endif
	atomic {
		if
		:: ran[me] -> outcome = DONE         /* the response arrived */
		:: outcome = UNKNOWN                 /* no response arrived */
		/* provably not run: the request may be sent to another target */
#ifdef BREAK_RESEND
		:: !was_resent -> was_resent = 1; permit[me] = UNUSED; goto send
#else
		:: !was_resent && in_transit[me] -> in_transit[me] = 0; was_resent = 1; permit[me] = UNUSED; goto send
#endif
		:: in_transit[me] -> in_transit[me] = 0; permit[me] = ABANDONED; report_not_run(me); goto release
		fi;
		goto record_outcome
	};
abandon:
	atomic {
		tries = 0;
		if
		:: permit[me] == NONE || permit[me] == UNUSED -> permit[me] = ABANDONED; report_not_run(me)
		:: permit[me] == ABANDONED -> skip
		fi
	};
release:
	outcome = RELEASED;
record_outcome:
	atomic {
		if
		:: tries == TRIES -> goto end
		:: tries < TRIES -> tries++
		fi;
		read();
		if
		:: verified_version[me] != 0 && read_version[me] == verified_version[me] -> unswept = 1
		:: else -> skip
		fi;
		if
		:: attempt == me && (phase == CLAIMED || (phase == UNKNOWN && outcome == DONE)) -> phase = 0; attempt = 0
		:: phase == ABSENT -> skip
		:: else -> goto end
		fi
	};
	atomic {
		put(outcome);
		if
		:: result == OK -> result = 0
		:: result != OK -> result = 0; goto record_outcome
		fi
	};
end:
	atomic {
		read_version[me] = 0; verified_version[me] = 0; phase = 0; attempt = 0; result = 0; tries = 0; outcome = 0;
		unswept = 0; was_resent = 0
	}
}

/* Target runs a request in transit at any time. */
proctype Target() {
	byte r;
	do
	:: atomic {
		r = 1;
		do
		:: r <= RECEIPTS && in_transit[r] -> break
		:: r < RECEIPTS -> r++
		od;
		in_transit[r] = 0;
		ran[r] = 1;
		runs++;
		assert(runs <= 1);
		assert(!reported_not_run[r]);
		r = 0
	}
	od
}

/* Network applies delayed writes at any time, subject to their version condition. */
proctype Network() {
	byte r, new_version;
	do
	:: atomic {
		r = 1;
		do
		:: r <= RECEIPTS && late[r].pending -> break
		:: r < RECEIPTS -> r++
		od;
		if
		:: holds(late[r].expected) -> store(late[r].phase, r, late[r].unswept)
		:: !holds(late[r].expected) -> skip
		fi;
		clear_late(r);
		r = 0
	}
	od
}

/* Deadline models deadlines of callers, which may pass at any time: an attempt that
 * was not sent is abandoned. */
proctype Deadline() {
	byte r;
	do
	:: atomic {
		r = 1;
		do
		:: r <= RECEIPTS && (permit[r] == NONE || permit[r] == UNUSED) -> break
		:: r < RECEIPTS -> r++
		od;
#ifndef BREAK_ABANDON
		permit[r] = ABANDONED;
#endif
		report_not_run(r);
		r = 0
	}
	od
}

/* Sweeper advances the watermark above the bucket, whether or not the retention
 * has ended, and deletes the object on condition that it is unchanged since it was
 * read. */
proctype Sweeper() {
	byte n;
	bucket_closed = 1;
	do
	:: atomic { n < 2 && object.version != 0 -> n++; delete_object() }
	od
}

init {
	byte i;
	atomic {
		i = 1;
		do
		:: i <= RECEIPTS -> run Request(i); i++
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
