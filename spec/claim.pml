/*
 * Claim of a non-repeatable call by compare-and-swap.
 *
 * Three calls carry one idempotency key: calls 0 and 1 arrive at two entries at the
 * same time; call 2 is the caller's retry, after entry 0 was replaced and lost its
 * memory. The key's record is in a shard of the key-value service together with other
 * keys, whose writes also raise the shard's revision. A write may take effect late,
 * its reply may be lost, the service may be down, and an entry may end at any step.
 *
 * Properties (assertions):
 *   once      over all calls of the key, at most one execution;
 *   not_run   a call reported as "not run" is not executed.
 *
 * Safeguards, and the flag that removes each:
 *   NO_COMPARE          the write of a claim is conditional on the revision read
 *   WRITE_OVER          a claimed key is not claimed again
 *   LOST_REPLY_IS_OURS  after a lost reply the record is read back
 *   SHARED_NONCE        the nonce is new for each call, not the entry's name
 *   MEMORY_ONLY         the claim is stored in the service, not in the entry's memory
 *   RELEASE_UNKNOWN     a claim is released only if the call was certainly not executed
 *   UNCLAIMED_RUN       without a claim, as during an outage of the service, no call is
 *                       executed
 */

#define CALLS 3
#define OTHER_WRITES 1

#ifdef SHARED_NONCE
#define NONCE(call) (1 + (call) % 2)  /* calls 0 and 2 are at entry 0 */
#else
#define NONCE(call) (1 + (call))
#endif

#define UNTOLD 0
#define TOLD_NOT_RUN 1
#define TOLD_UNKNOWN 2
#define TOLD_ANSWER 3

/* phases of a call */
#define READING 0
#define WRITING 1
#define READING_BACK 2
#define CLAIMED 3
#define DISPATCHED 4
#define RELEASING 5
#define ENDED 6

/* the shard */
byte revision = 1;
byte holder = 0;              /* nonce of the key's claim; 0 for none */
byte other_writes = 0;

byte phase[CALLS];
byte told[CALLS];
byte seen_revision[CALLS];
bit executed[CALLS];
byte executions = 0;

/* a conditional write in flight: 1 + the revision it compares; 0 for none */
byte write_under_way[CALLS];
byte release_under_way[CALLS];
bit write_succeeded[CALLS];
bit write_failed[CALLS];

inline tell_not_run(c) {
    assert(!executed[c]);     /* not_run */
    told[c] = TOLD_NOT_RUN;
    phase[c] = ENDED
}

inline tell_unknown(c) {
    told[c] = TOLD_UNKNOWN;
    phase[c] = ENDED
}

inline read_shard(c) {
    if
#ifdef WRITE_OVER
    :: seen_revision[c] = revision; phase[c] = WRITING
#else
    :: holder == NONCE(c) -> phase[c] = CLAIMED
    :: holder != 0 && holder != NONCE(c) -> tell_unknown(c)
    :: holder == 0 ->
        seen_revision[c] = revision;
        phase[c] = WRITING
#endif
    fi
}

inline apply(c) {
    if
#ifdef NO_COMPARE
    :: true ->
#else
    :: write_under_way[c] == 1 + revision ->
#endif
#ifndef MEMORY_ONLY
        holder = NONCE(c);
#endif
        revision++;
        write_succeeded[c] = 1
#ifndef NO_COMPARE
    :: else -> write_failed[c] = 1
#endif
    fi;
    write_under_way[c] = 0
}

inline release(c) {
    if
    :: release_under_way[c] == 1 + revision && holder == NONCE(c) ->
        holder = 0;
        revision++
    :: else -> skip
    fi;
    release_under_way[c] = 0
}

proctype call(byte c) {
end:
    do
    /* shard_read: first, or again after a lost reply or a conflict */
    :: atomic { phase[c] == READING || phase[c] == READING_BACK -> read_shard(c) }
    /* service_down: the service rejected the read or the write */
    :: atomic {
        phase[c] == READING || phase[c] == READING_BACK ->
#ifdef UNCLAIMED_RUN
        phase[c] = CLAIMED
#else
        tell_not_run(c)
#endif
        }
    /* claim_sent */
    :: atomic {
        phase[c] == WRITING && write_under_way[c] == 0 ->
        write_succeeded[c] = 0;
        write_failed[c] = 0;
        write_under_way[c] = 1 + seen_revision[c] }
    /* claim_reply: the reply arrives */
    :: atomic { phase[c] == WRITING && write_succeeded[c] -> phase[c] = CLAIMED }
    :: atomic { phase[c] == WRITING && write_failed[c] -> phase[c] = READING }
    /* claim_reply_lost: the write may have taken effect, or may still do so */
    :: atomic {
        phase[c] == WRITING && write_under_way[c] != 0 ->
#ifdef LOST_REPLY_IS_OURS
        phase[c] = CLAIMED
#else
        phase[c] = READING_BACK
#endif
        }
    :: atomic {
        phase[c] == WRITING && write_succeeded[c] ->
#ifdef LOST_REPLY_IS_OURS
        phase[c] = CLAIMED
#else
        phase[c] = READING_BACK
#endif
        }
    /* dispatched */
    :: atomic { phase[c] == CLAIMED -> phase[c] = DISPATCHED }
    /* started */
    :: atomic {
        phase[c] == DISPATCHED && !executed[c] ->
        executed[c] = 1;
        executions++;
        assert(told[c] != TOLD_NOT_RUN);  /* not_run */
        assert(executions <= 1) }         /* once */
    /* answered */
    :: atomic {
        phase[c] == DISPATCHED && executed[c] ->
        told[c] = TOLD_ANSWER;
        phase[c] = ENDED }
    /* refused: the side left a tombstone; the claim is released */
    :: atomic { phase[c] == CLAIMED -> phase[c] = RELEASING }
    :: atomic {
        phase[c] == RELEASING ->
        release_under_way[c] = 1 + revision;
        tell_not_run(c) }
    /* outcome_unknown: the claim is kept */
    :: atomic {
        phase[c] == DISPATCHED ->
#ifdef RELEASE_UNKNOWN
        release_under_way[c] = 1 + revision;
#endif
        told[c] = TOLD_UNKNOWN;
        phase[c] = ENDED }
    /* entry_ended: its calls get no result; its writes stay in flight */
    :: atomic { phase[c] != ENDED && phase[c] != DISPATCHED -> phase[c] = ENDED }
    od
}

/* The service applies writes in flight in any order. */
proctype service() {
    byte c;
end:
    do
    :: atomic { write_under_way[0] != 0 -> c = 0; apply(c) }
    :: atomic { write_under_way[1] != 0 -> c = 1; apply(c) }
    :: atomic { write_under_way[2] != 0 -> c = 2; apply(c) }
    :: atomic { release_under_way[0] != 0 -> c = 0; release(c) }
    :: atomic { release_under_way[1] != 0 -> c = 1; release(c) }
    :: atomic { release_under_way[2] != 0 -> c = 2; release(c) }
    /* another key of the shard is written */
    :: atomic {
        other_writes < OTHER_WRITES ->
        other_writes++;
        revision++ }
    od
}

init {
    atomic {
        run call(0);
        run call(1);
        run call(2);
        run service()
    }
}
