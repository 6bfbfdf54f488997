/*
 * Write authority over the plan.
 *
 * Two planners compete for a lease that may expire without its holder's knowledge.
 * The plan is one record with an epoch, a revision and the store's revision of its
 * last write. A planner may be suspended at any step, for any time. The reply to a
 * write may be lost; the planner then reads the record and looks for its own nonce.
 *
 * Properties (assertions):
 *   authority    only the planner that took over last can change the plan;
 *   forward      each plan written has a higher (epoch, revision) than the last.
 *
 * Safeguards, and the flag that removes each:
 *   NO_COMPARE      plan writes are compare-and-swap operations on the record
 *   NO_EPOCH        the first write of a new lease holder raises the epoch
 *   LOST_REPLY_IS_OURS  after a lost reply, the nonce in the record tells whether the
 *                       write took effect
 */

#define NOBODY 2
#define MOST_WRITES 6

/* the key-value service: the plan record and the lease */
byte lease = NOBODY;
byte store_revision = 0;      /* of the record's last write */
byte epoch = 0;
byte plan_revision = 0;
byte writer = NOBODY;         /* the planner whose nonce is in the record */
byte in_authority = NOBODY;   /* the planner whose takeover took effect last */

/* each planner */
#define FOLLOWING 0           /* another planner may hold the lease */
#define TAKING_OVER 1
#define PLANNING 2
#define WAITING 3             /* awaits the reply to a write */
byte phase[2];
byte seen_store_revision[2];
byte seen_epoch[2];
byte seen_plan_revision[2];

/* a write in flight, and its reply */
bit under_way[2];
byte compared[2];
byte new_epoch[2];
byte new_plan_revision[2];
#define NO_REPLY 0
#define SUCCEEDED 1
#define FAILED 2
byte reply[2];

#ifdef NO_COMPARE
#define HOLDS(p) true
#else
#define HOLDS(p) (compared[p] == store_revision)
#endif
#ifdef NO_EPOCH
#define RAISE 0
#else
#define RAISE 1
#endif

#define HIGHER(p) (new_epoch[p] > epoch || (new_epoch[p] == epoch && new_plan_revision[p] > plan_revision))

inline read_record(p) {
    seen_store_revision[p] = store_revision;
    seen_epoch[p] = epoch;
    seen_plan_revision[p] = plan_revision
}

inline send_write(p, raise) {
    under_way[p] = 1;
    compared[p] = seen_store_revision[p];
    new_epoch[p] = seen_epoch[p] + raise;
    new_plan_revision[p] = seen_plan_revision[p] + 1;
    reply[p] = NO_REPLY;
    phase[p] = WAITING
}

inline now_in_force(p) {
    seen_store_revision[p] = compared[p] + 1;
    seen_epoch[p] = new_epoch[p];
    seen_plan_revision[p] = new_plan_revision[p];
    phase[p] = PLANNING
}

inline apply(p) {
    if
    :: HOLDS(p) && store_revision < MOST_WRITES ->
        /* forward */
        assert(HIGHER(p));
        if
        :: new_epoch[p] > epoch -> in_authority = p
        :: else -> assert(in_authority == p)  /* authority */
        fi;
        epoch = new_epoch[p];
        plan_revision = new_plan_revision[p];
        writer = p;
        store_revision++;
        reply[p] = SUCCEEDED
    :: else -> reply[p] = FAILED
    fi;
    under_way[p] = 0
}

proctype planner(byte p) {
end:
    do
    /* lease_granted; the record is read at any later time */
    :: atomic { phase[p] == FOLLOWING && lease == NOBODY -> lease = p; phase[p] = TAKING_OVER }
    /* takeover_sent */
    :: atomic {
        phase[p] == TAKING_OVER && !under_way[p] && store_revision < MOST_WRITES ->
        read_record(p);
#ifdef NO_EPOCH
        in_authority = p;
        phase[p] = PLANNING
#else
        send_write(p, RAISE)
#endif
        }
    /* plan_sent */
    :: atomic {
        phase[p] == PLANNING && !under_way[p] && seen_store_revision[p] < MOST_WRITES ->
        send_write(p, 0) }
    /* write_replied */
    :: atomic { phase[p] == WAITING && reply[p] == SUCCEEDED -> now_in_force(p) }
    :: atomic { phase[p] == WAITING && reply[p] == FAILED -> phase[p] = FOLLOWING }
    /* reply_lost: the write took effect, did not, or may still do so */
    :: atomic {
        phase[p] == WAITING ->
#ifdef LOST_REPLY_IS_OURS
        now_in_force(p)
#else
        if
        :: writer == p && store_revision == compared[p] + 1 -> now_in_force(p)
        :: else -> phase[p] = FOLLOWING
        fi
#endif
        }
    /* lease_known_lost */
    :: atomic { phase[p] != FOLLOWING && lease != p -> phase[p] = FOLLOWING }
    od
}

proctype service() {
    byte p;
end:
    do
    /* lease_lapsed: it expired without its holder's knowledge */
    :: atomic { lease != NOBODY -> lease = NOBODY }
    /* write_applied, rejected, or lost before it took effect */
    :: atomic { under_way[0] -> p = 0; apply(p) }
    :: atomic { under_way[1] -> p = 1; apply(p) }
    :: atomic { under_way[0] -> under_way[0] = 0 }
    :: atomic { under_way[1] -> under_way[1] = 0 }
    od
}

init {
    atomic {
        run planner(0);
        run planner(1);
        run service()
    }
}
