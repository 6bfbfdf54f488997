/*
 * Propagation of the configuration to all processes.
 *
 * A document has a generation and a content (the number of the edit that made it).
 * Three processes read documents from the key-value service and from each other. A
 * process may be replaced by one without any state. The service may be down for a
 * while, and is restored once from an older backup. Two operators edit concurrently,
 * each through one process. Eventually faults and edits stop (calm).
 *
 * Properties (assertions):
 *   forward     no process replaces its generation by an older one;
 *   one         two processes with the same generation have the same content;
 *   everywhere  after faults and edits stop, the newest accepted configuration comes
 *               into force in every process;
 *   through_outage  if the service stays down, the newest configuration that any
 *               process has comes into force in every process;
 *   editable    after faults and edits stop, the service holds the newest accepted
 *               configuration too, so that it can be edited.
 *
 * Safeguards, and the flag that removes each:
 *   TAKE_ANY        a process applies only a higher generation, from any source
 *   NO_PEERS        processes also read documents from each other
 *   NO_COMPARE      an edit is a compare-and-swap on the document it was made from
 *   NO_BASE_CHECK   a process rejects the write of an edit whose base is older than
 *                   the generation it has in force: the service may have been restored
 *                   to just that older document
 *   NO_REPAIR       a process with a newer generation than the service's writes it to
 *                   the service, by compare-and-swap, before any edit through it
 *
 * Assumption, removed by EDIT_BEHIND: after a restore of the service, an edit is made
 * through a process that has the newest accepted generation. If every process that had
 * it is gone, nothing can detect that it existed. A write in flight when the service
 * went down is not applied by the restored service.
 */

#define PROCESSES 3
#define EDITS 3
#define REPLACEMENTS 1

/* the key-value service */
byte stored = 1;
byte stored_content = 0;
byte backup = 1;
byte backup_content = 0;
bit down = 0;
bit was_restored = 0;

byte in_force[PROCESSES];
byte content[PROCESSES];
byte newest = 1;              /* highest generation ever accepted */
byte newest_content = 0;
byte edits = 0;
byte replaced = 0;
bit calm = 0;

/* edits in progress: read, not yet written */
bit editing[2];
byte base[2];
byte base_content[2];

#ifdef TAKE_ANY
#define NEWER(generation, other) ((generation) != in_force[other])
#else
#define NEWER(generation, other) ((generation) > in_force[other])
#endif
#ifdef NO_COMPARE
#define SAME_AS_READ(o) true
#else
#define SAME_AS_READ(o) (stored == base[o] && stored_content == base_content[o])
#endif
#ifdef NO_BASE_CHECK
#define IN_FORCE_AS_READ(o, p) true
#else
#define IN_FORCE_AS_READ(o, p) (in_force[p] <= base[o])
#endif
#ifdef EDIT_BEHIND
#define KNOWS(p) true
#else
#define KNOWS(p) (!was_restored || in_force[p] == newest)
#endif
#ifdef NO_REPAIR
#define REPAIRED(p) true
#else
#define REPAIRED(p) (stored == in_force[p])
#endif
#define ALL_IN_FORCE (in_force[0] == newest && in_force[1] == newest && in_force[2] == newest)
#define ALL_ALIKE (content[0] == newest_content && content[1] == newest_content && content[2] == newest_content)

inline put_in_force(p, generation, new_content) {
    assert(generation >= in_force[p]);  /* forward */
    in_force[p] = generation;
    content[p] = new_content
}

inline edit(o, p) {
    if
    :: SAME_AS_READ(o) && IN_FORCE_AS_READ(o, p) && KNOWS(p) ->
        edits++;
        stored = base[o] + 1;
        stored_content = edits;
        newest = stored;
        newest_content = stored_content
    :: else -> skip  /* a conflict, reported to the operator */
    fi;
    editing[o] = 0
}

inline begin_edit(o, p) {
    editing[o] = 1;
    base[o] = stored;
    base_content[o] = stored_content
}

/* Steps by which a process or the service moves to a newer document. */
#define FROM_SERVICE(p) (!down && NEWER(stored, p))
#ifdef NO_PEERS
#define FROM_PEER(p, q) false
#else
#define FROM_PEER(p, q) NEWER(in_force[q], p)
#endif
#define GIVES_BACK(p) (!down && in_force[p] > stored)
#define ALL_SAME (in_force[0] == in_force[1] && in_force[1] == in_force[2])
#define QUIET (!editing[0] && !editing[1] && !CAN_PULL(0, 1, 2) && !CAN_PULL(1, 0, 2) && !CAN_PULL(2, 0, 1) && !CAN_GIVE_BACK)
#define CAN_PULL(p, q, r) (FROM_SERVICE(p) || FROM_PEER(p, q) || FROM_PEER(p, r))
#ifdef NO_REPAIR
#define CAN_GIVE_BACK false
#else
#define CAN_GIVE_BACK (GIVES_BACK(0) || GIVES_BACK(1) || GIVES_BACK(2))
#endif
#define MAY_EDIT(o, p) (!calm && !down && !editing[o] && edits < EDITS && in_force[p] != 0 && KNOWS(p) && REPAIRED(p))

/* Some process keeps the newest generation whenever the service loses it. */
#define KNOWN_SOMEWHERE (in_force[0] == newest || in_force[1] == newest || in_force[2] == newest)
#define KNOWN_WITHOUT(p) (stored == newest || (p != 0 && in_force[0] == newest) || (p != 1 && in_force[1] == newest) || (p != 2 && in_force[2] == newest))

active proctype fleet() {
end:
    do
    /* document_pulled from the service, by watch or read */
    :: atomic { FROM_SERVICE(0) -> put_in_force(0, stored, stored_content) }
    :: atomic { FROM_SERVICE(1) -> put_in_force(1, stored, stored_content) }
    :: atomic { FROM_SERVICE(2) -> put_in_force(2, stored, stored_content) }
    /* document_pulled from a peer whose heartbeat shows a newer generation */
    :: atomic { FROM_PEER(0, 1) -> put_in_force(0, in_force[1], content[1]) }
    :: atomic { FROM_PEER(0, 2) -> put_in_force(0, in_force[2], content[2]) }
    :: atomic { FROM_PEER(1, 0) -> put_in_force(1, in_force[0], content[0]) }
    :: atomic { FROM_PEER(1, 2) -> put_in_force(1, in_force[2], content[2]) }
    :: atomic { FROM_PEER(2, 0) -> put_in_force(2, in_force[0], content[0]) }
    :: atomic { FROM_PEER(2, 1) -> put_in_force(2, in_force[1], content[1]) }
#ifndef NO_REPAIR
    /* document_given_back to a service that was restored to an older one */
    :: atomic { GIVES_BACK(0) -> stored = in_force[0]; stored_content = content[0] }
    :: atomic { GIVES_BACK(1) -> stored = in_force[1]; stored_content = content[1] }
    :: atomic { GIVES_BACK(2) -> stored = in_force[2]; stored_content = content[2] }
#endif
    /* edit_begun by two operators, through two of the processes */
    :: atomic { MAY_EDIT(0, 0) -> begin_edit(0, 0) }
    :: atomic { MAY_EDIT(1, 1) -> begin_edit(1, 1) }
    /* edit_written */
    :: atomic { editing[0] && !down && edits < EDITS -> edit(0, 0) }
    :: atomic { editing[1] && !down && edits < EDITS -> edit(1, 1) }
    /* service_down, service_up, backup made, service_restored to the backup */
    :: atomic { !calm && !down -> down = 1 }
    :: atomic { down -> down = 0 }
    :: atomic { !calm && !was_restored -> backup = stored; backup_content = stored_content }
    :: atomic {
        !calm && down && !was_restored && KNOWN_SOMEWHERE ->
        was_restored = 1;
        stored = backup;
        stored_content = backup_content }
    /* process_replaced */
    :: atomic {
        !calm && replaced < REPLACEMENTS && KNOWN_WITHOUT(0) ->
        replaced++;
        in_force[0] = 0;
        content[0] = 0 }
    :: atomic {
        !calm && replaced < REPLACEMENTS && KNOWN_WITHOUT(2) ->
        replaced++;
        in_force[2] = 0;
        content[2] = 0 }
    /* calm */
    :: atomic { !calm -> calm = 1 }
    :: atomic { calm && QUIET && down -> assert(ALL_SAME); break }
    :: atomic {
        calm && QUIET && !down ->
        assert(ALL_IN_FORCE && ALL_ALIKE);
        assert(stored == newest);  /* editable */
        break }
    od
}
