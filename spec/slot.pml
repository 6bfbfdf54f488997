/*
 * Orders to one engine from successive side processes of its slot.
 *
 * The engine ignores fencing tokens and may crash during a role change. Side process 0
 * runs in the engine's slot, and side process 1 may start at any time, even while
 * process 0 is only suspended. A suspended process takes no step for any length of
 * time; data that it has written to a socket stays in flight. Tokens of plans only
 * increase, as authority.pml shows; here a plan is identified by its token's rank.
 *
 * Properties (assertions):
 *   forward      an engine accepts no order with a lower token after a higher one;
 *   one_order    an engine never receives an order while another is in progress;
 *   read_back    work is routed to an engine only if its side believes the engine's
 *                actual assignment.
 *
 * Safeguards, and the flag that removes each:
 *   OBEY_LOWER      a side obeys only a higher token than the last
 *   NO_BIND         a side binds its fixed address exclusively before anything else
 *   NO_SETTLE       a started side waits until orders already in a socket have settled
 *   READ_BEFORE_BIND  the plan is read after binding and settling
 *   TRUST_PEERS     a started side reads the plan from the service itself
 *   NO_READ_BACK    after a lost reply, the engine's state is read before another order
 *   ASSUME_DONE     an order's result is read back, with the engine's boot identity
 *
 * Assumption behind NO_SETTLE: an order that a dead process left in a socket reaches
 * the engine within the settling time or never. An engine that delays one for longer
 * and also ignores tokens can still execute an old order; nothing outside the engine
 * can prevent this.
 */

#define NOBODY 2
#define PLANS 4

byte newest = 0;              /* rank of the newest plan in the service */

/* the two side processes of the slot */
#define OUT 0                 /* not started, or dead */
#define BINDING 1
#define SETTLING 2
#define LEARNING 3            /* reads the plan from the service */
#define IDLE 4                /* knows that the engine is in no role change */
#define ORDERED 5
byte phase[2];
bit was_started[2];
byte bound = NOBODY;
byte last[2];                 /* highest token obeyed */
byte want[2];                 /* token to be ordered; 0 for none */
byte in_socket[2];            /* token of an order in flight to the engine */
byte believed[2];             /* the assignment that the side believes the engine has */
bit routing[2];

/* the engine; an assignment is identified by the token of its order */
byte changing = 0;
byte assignment = 0;
byte highest_taken = 0;
byte crashes = 0;

#define ALIVE(p) (phase[p] != OUT)
#ifdef NO_BIND
#define MAY_BIND(p) true
#else
#define MAY_BIND(p) (bound == NOBODY)
#endif
#ifdef NO_SETTLE
#define SETTLED(p) true
#else
#define SETTLED(p) (in_socket[1 - (p)] == 0 && changing == 0)
#endif
#ifdef NO_READ_BACK
#define ENDED(p) true
#else
#define ENDED(p) (in_socket[p] == 0 && changing == 0)
#endif

inline learn(p, token) {
    if
#ifdef OBEY_LOWER
    :: true ->
#else
    :: token > last[p] ->
#endif
        last[p] = token;
        want[p] = token
#ifndef OBEY_LOWER
    :: else -> skip
#endif
    fi
}

proctype side(byte p) {
    byte token;
end:
    do
    /* side_started */
    :: atomic {
        !was_started[p] ->
        was_started[p] = 1;
#ifdef READ_BEFORE_BIND
        learn(p, newest);
#endif
        phase[p] = BINDING }
    /* bound */
    :: atomic {
        phase[p] == BINDING && MAY_BIND(p) ->
        bound = p;
        phase[p] = SETTLING }
    /* settled, and the engine's state read back */
    :: atomic {
        phase[p] == SETTLING && SETTLED(p) ->
        believed[p] = assignment;
        routing[p] = 1;
#if defined(TRUST_PEERS) || defined(READ_BEFORE_BIND)
        phase[p] = IDLE
#else
        phase[p] = LEARNING
#endif
        }
    /* plan_read from the service itself */
    :: atomic { phase[p] == LEARNING -> learn(p, newest); phase[p] = IDLE }
    /* plan_heard: any plan ever written, by a late watch or from a peer */
    :: atomic {
        phase[p] >= IDLE && newest >= 1 ->
        if
        :: newest >= 1 -> token = 1
        :: newest >= 2 -> token = 2
        :: newest >= 3 -> token = 3
        :: newest >= 4 -> token = 4
        fi;
        learn(p, token);
        token = 0 }
    /* order_given */
    :: atomic {
        phase[p] == IDLE && want[p] != 0 && in_socket[p] == 0 ->
        in_socket[p] = want[p];
        want[p] = 0;
        routing[p] = 0;
        phase[p] = ORDERED }
    /* order_ended: by its reply, or by settling and reading back */
    :: atomic {
        phase[p] == ORDERED && ENDED(p) ->
#ifdef ASSUME_DONE
        believed[p] = last[p];
#else
        believed[p] = assignment;
#endif
        routing[p] = 1;
        phase[p] = IDLE }
    /* routed: the engine rejects work if its boot identity has changed by a crash */
    :: atomic {
        routing[p] && phase[p] == IDLE && changing == 0 ->
        assert(believed[p] == assignment);  /* read_back */
        routing[p] = 0 }
    /* side_killed */
    :: atomic {
        ALIVE(p) ->
        phase[p] = OUT;
        routing[p] = 0;
        want[p] = 0;
        if
        :: bound == p -> bound = NOBODY
        :: else -> skip
        fi }
    /* order_lost with its connection */
    :: atomic { in_socket[p] != 0 -> in_socket[p] = 0 }
    /* order_taken */
    :: atomic {
        in_socket[p] != 0 ->
        assert(changing == 0);                    /* one_order */
        assert(in_socket[p] >= highest_taken);    /* forward */
        changing = in_socket[p];
        highest_taken = in_socket[p];
        in_socket[p] = 0 }
    od
}

proctype engine() {
end:
    do
    /* change_done */
    :: atomic { changing != 0 -> assignment = changing; changing = 0 }
    /* engine_crashed during a role change, with the change done or not */
    :: atomic {
        changing != 0 && crashes < 2 ->
        crashes++;
        if
        :: assignment = changing
        :: skip
        fi;
        changing = 0 }
    od
}

/* Plans are written independently of the sides. */
proctype service() {
end:
    do
    /* plan_written */
    :: atomic { newest < PLANS -> newest++ }
    od
}

init {
    atomic {
        run service();
        run side(0);
        run side(1);
        run engine()
    }
}
