/*
 * Attempts of one non-repeatable call, and the result reported to its caller.
 *
 * An entry offers the call to side 0 and, only if that attempt was certainly not
 * executed, to side 1. A message that was sent may arrive at any later time, in any
 * order, more than once, or never. A side may restart, which loses all its state. The
 * entry may send another hello, which ends its earlier session with that side.
 *
 * Properties (assertions):
 *   not_run   a call reported as "not run" is never executed, before or after;
 *   once      the call is executed at most once.
 *
 * Safeguards, and the flag that removes each:
 *   NO_TOMBSTONE        "never started" leaves a tombstone against a late offer
 *   NO_DEDUPLICATION    a known attempt is not queued again
 *   NO_SESSION_CHECK    an offer from another than the current session is refused
 *   RECORDS_AFTER_SESSION  a known attempt is never refused, whatever its session
 *   NO_INCARNATION_CHECK   only the incarnation that received the offer may reply
 *                          "never started"
 *   TIMEOUT_IS_NOT_RUN  a timeout is an unknown outcome
 *   RETRY_UNKNOWN       a call with an unknown outcome is not retried
 *   OLD_HELLO           a hello without a higher counter opens no session
 *
 * Assumption, removed by DUPLICATE_ACROSS_RESTART: the transport never delivers one
 * frame to two incarnations of a side (a connection ends with its process, and a
 * frame taken off the queue is not queued again).
 */

#define SIDES 2
#define HELLOS 2
#define NO_SESSION 0
#define SESSION(inc, counter) ((inc) * HELLOS + (counter))
#define INCARNATION(session) (((session) - 1) / HELLOS)
#define SESSIONS 5

#define NONE 0
#define QUEUED 1
#define STARTED 2
#define DONE 3
#define TOMBSTONE 4

#define WAITING 0
#define TOLD_NOT_RUN 1
#define TOLD_UNKNOWN 2
#define TOLD_ANSWER 3

/* the entry; attempt n goes to side n */
byte told = WAITING;
byte attempt = 0;
byte hello[SIDES];            /* counter of the last hello sent */
byte entry_session[SIDES];    /* session of the last welcome received */
byte offered[SIDES];          /* session of the offer; NO_SESSION before */
bit handed[SIDES];            /* whether the offer was handed to the socket */

/* each side */
byte incarnation[SIDES];
byte last_counter[SIDES];
byte current[SIDES];          /* its current session */
byte record[SIDES];           /* its record of the attempt */

/* messages that were sent and may arrive at any later time */
bit welcome[SIDES * SESSIONS];
bit cancel[SIDES * SESSIONS];
byte offer_taken[SIDES];      /* 1 + the incarnation that took the offer's frame */
bit not_started[SIDES];       /* Refused, or AttemptState never_started */
bit done[SIDES];

byte executions = 0;

/* guards */
#define TRYING(s) (told == WAITING && attempt == s)
#define WELCOMED(s, inc) (hello[s] != 0 && welcome[s * SESSIONS + SESSION(inc, hello[s])])
#ifdef NO_INCARNATION_CHECK
#define SAME_INCARNATION(s) true
#else
#define SAME_INCARNATION(s) (INCARNATION(entry_session[s]) == INCARNATION(offered[s]))
#endif
#ifdef OLD_HELLO
#define HELLO_COUNTS(s, counter) (counter <= hello[s])
#else
#define HELLO_COUNTS(s, counter) (counter <= hello[s] && counter > last_counter[s])
#endif
#ifdef DUPLICATE_ACROSS_RESTART
#define FRAME_ARRIVES(s) true
#else
#define FRAME_ARRIVES(s) (offer_taken[s] == 0 || offer_taken[s] == 1 + incarnation[s])
#endif

inline tell_not_run() {
    assert(executions == 0);  /* not_run */
    told = TOLD_NOT_RUN
}

inline go_on() {
    if
    :: attempt < SIDES - 1 -> attempt++
    :: tell_not_run()
    fi
}

inline refuse(s) {
    record[s] = TOMBSTONE;
    not_started[s] = 1
}

inline take_hello(s, counter) {
    last_counter[s] = counter;
    current[s] = SESSION(incarnation[s], counter);
    welcome[s * SESSIONS + current[s]] = 1;
    /* a tombstone may be dropped with its session: a late offer of that session is
     * refused because the session is not current */
    if
    :: record[s] == TOMBSTONE -> record[s] = NONE
    :: skip
    fi
}

inline take_offer(s) {
    if
#ifdef RECORDS_AFTER_SESSION
    :: offered[s] != current[s] -> not_started[s] = 1
    :: offered[s] == current[s] && record[s] != NONE -> skip
#else
#ifndef NO_DEDUPLICATION
    :: record[s] == TOMBSTONE -> not_started[s] = 1
    :: record[s] != NONE && record[s] != TOMBSTONE -> skip
#endif
#ifndef NO_SESSION_CHECK
    :: record[s] == NONE && offered[s] != current[s] -> refuse(s)
#endif
#endif
#ifdef NO_DEDUPLICATION
    :: offered[s] == current[s] -> record[s] = QUEUED
#else
#ifdef NO_SESSION_CHECK
    :: record[s] == NONE && current[s] != NO_SESSION -> record[s] = QUEUED
#else
    :: record[s] == NONE && offered[s] == current[s] -> record[s] = QUEUED
    :: record[s] == NONE && offered[s] == current[s] -> refuse(s)
#endif
#endif
    fi
}

inline take_cancel(s) {
    if
    :: record[s] == NONE || record[s] == QUEUED ->
#ifdef NO_TOMBSTONE
        record[s] = NONE;
#else
        record[s] = TOMBSTONE;
#endif
        not_started[s] = 1
    :: record[s] == TOMBSTONE -> not_started[s] = 1
    :: record[s] == STARTED -> skip
    :: record[s] == DONE -> done[s] = 1
    fi
}

proctype entry_at(byte s) {
end:
    do
    /* hello */
    :: atomic { hello[s] < HELLOS -> hello[s]++ }
    /* welcome_heard: only the reply to the latest hello counts */
    :: atomic { WELCOMED(s, 0) -> entry_session[s] = SESSION(0, hello[s]) }
    :: atomic { WELCOMED(s, 1) -> entry_session[s] = SESSION(1, hello[s]) }
    /* offer_sent */
    :: atomic {
        TRYING(s) && offered[s] == NO_SESSION && entry_session[s] != NO_SESSION ->
        offered[s] = entry_session[s];
        handed[s] = 1 }
    /* offer_not_handed_over */
    :: atomic {
        TRYING(s) && offered[s] == NO_SESSION -> go_on() }
    /* cancel_sent */
    :: atomic {
        TRYING(s) && handed[s] && SAME_INCARNATION(s) ->
        cancel[s * SESSIONS + entry_session[s]] = 1 }
    /* not_started_heard */
    :: atomic { TRYING(s) && not_started[s] -> go_on() }
    /* answer_heard */
    :: atomic { TRYING(s) && done[s] -> told = TOLD_ANSWER }
    /* gave_up: the deadline passed, or the caller disconnected */
    :: atomic {
        TRYING(s) && handed[s] ->
#ifdef TIMEOUT_IS_NOT_RUN
        tell_not_run()
#else
#ifdef RETRY_UNKNOWN
        if
        :: attempt < SIDES - 1 -> attempt++
        :: else -> told = TOLD_UNKNOWN
        fi
#else
        told = TOLD_UNKNOWN
#endif
#endif
        }
    od
}

proctype side(byte s) {
end:
    do
    /* hello_taken */
    :: atomic { HELLO_COUNTS(s, 1) -> take_hello(s, 1) }
    :: atomic { HELLO_COUNTS(s, 2) -> take_hello(s, 2) }
    /* offer_taken */
    :: atomic {
        handed[s] && FRAME_ARRIVES(s) ->
        offer_taken[s] = 1 + incarnation[s];
        take_offer(s) }
    /* started */
    :: atomic {
        record[s] == QUEUED ->
        record[s] = STARTED;
        executions++;
        assert(told != TOLD_NOT_RUN);  /* not_run */
        assert(executions <= 1) }      /* once */
    /* finished */
    :: atomic { record[s] == STARTED -> record[s] = DONE; done[s] = 1 }
    /* cancel_taken: a cancel of another session is answered with SessionUnknown */
    :: atomic {
        current[s] != NO_SESSION && cancel[s * SESSIONS + current[s]] ->
        take_cancel(s) }
    /* restarted */
    :: atomic {
        incarnation[s] == 0 ->
        incarnation[s] = 1;
        last_counter[s] = 0;
        current[s] = NO_SESSION;
        record[s] = NONE }
    od
}

init {
    atomic {
        run entry_at(0);
        run entry_at(1);
        run side(0);
        run side(1)
    }
}
