/*
 * Orders to one engine from successive holders of the plan.
 *
 * A holder reads how many orders the engine has accepted, writes the plan, and sends an
 * order with that count as its precondition. It may be suspended at any step, for any
 * time, while another takes over. The reply to an order may be lost, and the engine may
 * execute the order at any later time. The engine may restart under the same name: it
 * then loses its state and the orders that it had not executed.
 *
 * Engines in this model compare no fencing tokens: the protocol must hold without them.
 * Engines that do compare them add a second safeguard.
 *
 * Properties (assertions):
 *   newest       an order is never executed after one that was sent later;
 *   authority    an order is never executed after one of a later holder.
 *
 * Safeguards, and the flag that removes each:
 *   NO_PRECONDITION  an order carries the count of orders the engine must have accepted
 *   NO_PLAN_WRITE    each order is preceded by a plan write that compares the epoch
 *   READ_LATE        the count is read before that write, not after it
 *   STALE_READ       no order is sent with a count from before the engine's restart: a
 *                    restart takes longer than a holder may take from read to order
 */

#define MOST_ORDERS 4
#define MOST_EPOCHS 3
#define MOST_RESTARTS 1

/* the plan in the key-value service */
byte epoch = 0;

/* the engine, since its last restart */
byte sequence = 0;
byte last_number = 0;
byte last_token = 0;
byte restarts = 0;

/* orders, numbered as they are sent */
byte given = 0;
bit under_way[MOST_ORDERS + 1];
byte token_of[MOST_ORDERS + 1];
byte precondition[MOST_ORDERS + 1];

#define OUT 0
#define HOLDING 1
#define HAS_READ 2
#define HAS_WRITTEN 3
byte phase[2];
byte token[2];
byte seen_sequence[2];

#ifdef NO_PRECONDITION
#define APPLIES(n) true
#else
#define APPLIES(n) (precondition[n] == sequence)
#endif

#ifdef NO_PLAN_WRITE
#define IS_IN_AUTHORITY(p) true
#else
#define IS_IN_AUTHORITY(p) (token[p] == epoch)
#endif

#ifdef READ_LATE
#define COUNT(p) sequence
#else
#define COUNT(p) seen_sequence[p]
#endif

proctype holder(byte p) {
end:
    do
    /* plan_opened: raises the epoch */
    :: atomic {
        phase[p] == OUT && epoch < MOST_EPOCHS ->
        epoch++;
        token[p] = epoch;
        phase[p] = HOLDING }
    /* sequence_read */
    :: atomic {
        phase[p] == HOLDING ->
        seen_sequence[p] = sequence;
        phase[p] = HAS_READ }
    /* plan_written, or rejected */
    :: atomic {
        phase[p] == HAS_READ ->
        if
        :: IS_IN_AUTHORITY(p) -> phase[p] = HAS_WRITTEN
        :: else -> phase[p] = OUT
        fi }
    /* order_given; its reply may be lost */
    :: atomic {
        phase[p] == HAS_WRITTEN && given < MOST_ORDERS ->
        given++;
        under_way[given] = 1;
        token_of[given] = token[p];
        precondition[given] = COUNT(p);
        phase[p] = HOLDING }
    /* given_up */
    :: atomic { phase[p] != OUT -> phase[p] = OUT }
    od
}

inline arrive(n) {
    under_way[n] = 0;
    if
    :: true -> skip                          /* lost */
    :: APPLIES(n) ->
        assert(n > last_number);             /* newest */
        assert(token_of[n] >= last_token);   /* authority */
        last_number = n;
        last_token = token_of[n];
        sequence++
    :: !APPLIES(n) -> skip
    fi
}

inline forget_reading(p) {
    if
    :: phase[p] > HOLDING -> phase[p] = HOLDING
    :: else -> skip
    fi
}

proctype engine() {
    byte n;
end:
    do
    /* order_carried_out, rejected for its precondition, or lost */
    :: atomic { under_way[1] -> arrive(1) }
    :: atomic { under_way[2] -> arrive(2) }
    :: atomic { under_way[3] -> arrive(3) }
    :: atomic { under_way[4] -> arrive(4) }
    /* engine_restarted */
    :: atomic {
        restarts < MOST_RESTARTS ->
        restarts++;
        sequence = 0;
        last_number = 0;
        last_token = 0;
#ifndef STALE_READ
        forget_reading(0);
        forget_reading(1);
#endif
        n = 1;
        do
        :: n <= MOST_ORDERS -> under_way[n] = 0; n++
        :: else -> break
        od }
    od
}

init {
    atomic {
        run holder(0);
        run holder(1);
        run engine()
    }
}
