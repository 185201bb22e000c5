/*
 * The claim of a keyed request: one claim slot, one key, two owners and two requests with that key. An
 * owner is an instance that may acquire the slot.
 *
 * Each step applies one event to the state machine ClaimSlot (docs/PROOF.md maps steps to functions).
 * The platform stores one head: revision, epoch, claim, and the write that stored it. A write may be
 * applied at any time after it was sent, even after its owner stopped waiting for it, and its answer may
 * be lost. The checker may delay the next step of an owner by any time, which models a paused owner.
 *
 * Checked: at most one request is dispatched, and none that was reported as "not run".
 *
 * Seeded mistakes, each of which must violate an assertion:
 *   MISTAKE_NO_REREAD        after losing a swap, the owner adopts the new revision but keeps the epoch
 *                            and the claim that it had before
 *   MISTAKE_GRANT_ON_UNKNOWN a swap without an answer is treated as successful
 *   MISTAKE_RELEASE_FOUND    a claim request that times out at an owner releases its claim even if the
 *                            owner did not write that claim but found it in the head
 *   MISTAKE_SILENT_IS_NEVER  a claim holder that does not reply is treated as having given up
 *   MISTAKE_LATE_GRANT       a request that was reported as "not run" is dispatched when a late grant
 *                            arrives
 */
#ifndef MAX_REVISION
#define MAX_REVISION 5
#endif

/* Limit of swaps without an answer, over both owners and the whole run. */
#ifndef MAX_UNANSWERED
#define MAX_UNANSWERED 2
#endif

#define OWNERS 2
#define WRITES 2              /* writes of one owner that may be in flight or unconfirmed */
#define SLOT(o, w) ((o) * WRITES + (w))
#define NOBODY 0
#define BIT(a) (1 << (a))
#define HAS(set, a) (((set) >> (a)) & 1)

/* States of a write. */
#define FREE 0
#define FLIGHT 1              /* sent; the owner waits for the answer */
#define LATE 2                /* the owner stopped waiting; it may still be applied */
#define DONE 3                /* applied; the answer is in flight */
#define CONFLICT 4            /* refused; the answer is in flight */
#define GONE 5                /* can have no further effect, but the owner cannot know that */

/* Phases of the slot at an owner. TAKING includes the loading of sealed segments. */
#define IDLE 0
#define TAKING 1
#define HELD 2

/* States of a request. */
#define ASKING 0
#define RAN 1
#define GAVE_UP 2             /* reported as "not run"; must never be dispatched */

typedef Write { byte state; byte expected; byte epoch; byte claim; bit doubtful };

/* The head that the platform stores. `writer` is the index in `writes` of the write that stored it; 255: none. */
byte revision = 0; byte epoch = 0; byte claim = NOBODY; byte writer = 255;
Write writes[4];

typedef Owner {
  byte phase; bit isKnown; byte revision; byte epoch; byte claim;
  byte waiting; byte released; bit needsRead
};
Owner owners[OWNERS];

byte request[3];              /* states of requests 1 and 2; entry 0 is unused */
byte grants = 0;              /* bit set of the requests that a grant is in flight to */
byte dispatched = 0;
byte unanswered = 0;

inline free_write(s) {
  writes[s].state = FREE; writes[s].expected = 0; writes[s].epoch = 0; writes[s].claim = NOBODY;
  writes[s].doubtful = 0
}

inline close_doubts(o) {
  for (w : 0 .. WRITES - 1) {
    writes[SLOT(o, w)].doubtful = 0;
    if
    :: writes[SLOT(o, w)].state == GONE -> free_write(SLOT(o, w))
    :: else
    fi
  }
  w = 0
}

inline adopt(o, newRevision, newEpoch, newClaim) {
  owners[o].isKnown = 1; owners[o].revision = newRevision; owners[o].epoch = newEpoch;
  owners[o].claim = newClaim;
  owners[o].needsRead = 0;
  close_doubts(o);
  if
  :: owners[o].phase == TAKING -> owners[o].phase = HELD
  :: else -> owners[o].released = owners[o].released & (newClaim == NOBODY -> 0 : BIT(newClaim))
  fi
}

inline lose(o) {
  owners[o].phase = IDLE; owners[o].isKnown = 0; owners[o].revision = 0; owners[o].epoch = 0;
  owners[o].claim = NOBODY; owners[o].waiting = 0; owners[o].released = 0; owners[o].needsRead = 0;
  close_doubts(o)
}

/*
 * Sends a write in a free entry. If the head was stored by the entry's previous write, `writer` is cleared,
 * so that the new write is not mistaken for the one that stored the head.
 */
inline send_write(o, newEpoch, newClaim) {
  if
  :: writes[SLOT(o, 0)].state == FREE -> w = 0
  :: else -> w = 1
  fi;
  if
  :: writer == SLOT(o, w) -> writer = 255
  :: else
  fi;
  writes[SLOT(o, w)].state = FLIGHT; writes[SLOT(o, w)].expected = owners[o].revision;
  writes[SLOT(o, w)].epoch = newEpoch; writes[SLOT(o, w)].claim = newClaim; writes[SLOT(o, w)].doubtful = 0
}

#define IS_CALLING(o) (writes[SLOT(o, 0)].state == FLIGHT || writes[SLOT(o, 1)].state == FLIGHT || \
  writes[SLOT(o, 0)].state == DONE || writes[SLOT(o, 1)].state == DONE || \
  writes[SLOT(o, 0)].state == CONFLICT || writes[SLOT(o, 1)].state == CONFLICT)
#define CAN_WRITE(o) (!IS_CALLING(o) && owners[o].isKnown && !owners[o].needsRead && \
  owners[o].revision < MAX_REVISION && \
  (writes[SLOT(o, 0)].state == FREE || writes[SLOT(o, 1)].state == FREE))
#define IS_FREED(o) (owners[o].claim == NOBODY || HAS(owners[o].released, owners[o].claim))
/* Whether a write that is in flight or unconfirmed would add the claim of request `a`. */
#define PUTS_IN(o, w, a) (writes[SLOT(o, w)].claim == (a) && owners[o].claim != (a) && \
  (writes[SLOT(o, w)].doubtful || writes[SLOT(o, w)].state == FLIGHT || \
   writes[SLOT(o, w)].state == DONE || writes[SLOT(o, w)].state == CONFLICT))

/* Printed in simulations only; ClaimModel.test.ts replays these lines against ClaimSlot. */
#define SHOW(o) printf("STATE %d %d %d %d %d %d %d %d\n", o, owners[o].phase, owners[o].isKnown, \
  owners[o].revision, owners[o].epoch, owners[o].claim, owners[o].waiting, owners[o].released)

#define CAN_ASK(o, a) (!HAS(owners[o].waiting, a) && !HAS(owners[o].released, a))

inline take_ask(o, asker) {
  owners[o].waiting = owners[o].waiting | BIT(asker);
  if
  :: owners[o].phase == IDLE -> owners[o].phase = TAKING; owners[o].needsRead = 1
  :: else
  fi
}

proctype Owner_(byte o) {
  byte a; byte w; byte chosen;
end:
  do
  /* A claim request arrives: the first one, a retry, or a copy delayed by any time. */
  :: d_step { CAN_ASK(o, 1) -> take_ask(o, 1); printf("STEP ask %d 1\n", o); SHOW(o) }
  :: d_step { CAN_ASK(o, 2) -> take_ask(o, 2); printf("STEP ask %d 2\n", o); SHOW(o) }

  /* All waiting claim requests are answered from the known head. */
  :: d_step { owners[o].phase == HELD && owners[o].waiting != 0 && !IS_FREED(o) ->
      if
      :: HAS(owners[o].waiting, owners[o].claim) -> grants = grants | BIT(owners[o].claim)
      :: else
      fi;
      owners[o].waiting = 0; printf("STEP answer %d\n", o); SHOW(o) }

  /* A claim request times out. */
  :: atomic { owners[o].waiting != 0 && !(owners[o].phase == HELD && !IS_FREED(o)) ->
      if
      :: HAS(owners[o].waiting, 1) -> a = 1
      :: HAS(owners[o].waiting, 2) -> a = 2
      fi;
      owners[o].waiting = owners[o].waiting & ~BIT(a);
#ifdef MISTAKE_RELEASE_FOUND
      owners[o].released = owners[o].released | BIT(a);
#else
      if
      :: owners[o].phase == HELD && (PUTS_IN(o, 0, a) || PUTS_IN(o, 1, a)) ->
        owners[o].released = owners[o].released | BIT(a)
      :: else
      fi;
#endif
      printf("STEP expire %d %d\n", o, a); SHOW(o); a = 0 }

  /* The holder of the claim replies that it was never dispatched, or its release arrives. */
  :: d_step { owners[o].phase == HELD && owners[o].claim != NOBODY &&
#ifdef MISTAKE_SILENT_IS_NEVER
        request[owners[o].claim] != ASKING &&
#else
        request[owners[o].claim] == GAVE_UP &&
#endif
        !HAS(owners[o].released, owners[o].claim) ->
      owners[o].released = owners[o].released | BIT(owners[o].claim);
      owners[o].waiting = owners[o].waiting & ~BIT(owners[o].claim);
      printf("STEP release %d %d\n", o, owners[o].claim); SHOW(o) }

  /* The head is read and the result is applied in one step. The next steps may be delayed by any time,
     which covers a result that is stale on arrival. */
  :: d_step { owners[o].phase != IDLE && owners[o].needsRead && !IS_CALLING(o) ->
      if
      :: (writer == SLOT(o, 0) || writer == SLOT(o, 1)) && writes[writer].doubtful ->
        adopt(o, revision, epoch, claim)
      :: else ->
        if
        :: owners[o].isKnown && revision == owners[o].revision -> owners[o].needsRead = 0
        :: else ->
          if
          :: owners[o].phase == TAKING && (!owners[o].isKnown || epoch == owners[o].epoch) ->
            owners[o].isKnown = 1; owners[o].revision = revision;
            owners[o].epoch = epoch; owners[o].claim = claim;
            owners[o].needsRead = 0; close_doubts(o)
          :: else ->
#ifdef MISTAKE_NO_REREAD
            owners[o].revision = revision; owners[o].needsRead = 0; close_doubts(o)
#else
            lose(o)
#endif
          fi
        fi
      fi;
      printf("STEP read %d\n", o); SHOW(o) }

  /* The owner sends the swap that acquires the slot: it increments the epoch and keeps the claim. */
  :: d_step { owners[o].phase == TAKING && CAN_WRITE(o) ->
      send_write(o, owners[o].epoch + 1, owners[o].claim);
      printf("STEP take %d %d\n", o, w); SHOW(o); w = 0 }

  /* The owner sends a batch: a swap that adds a claim, removes a released one, or does both. */
  :: atomic { owners[o].phase == HELD && CAN_WRITE(o) && IS_FREED(o) &&
        (owners[o].waiting != 0 || owners[o].claim != NOBODY) ->
      if
      :: HAS(owners[o].waiting, 1) -> chosen = 1
      :: HAS(owners[o].waiting, 2) -> chosen = 2
      :: owners[o].waiting == 0 -> chosen = NOBODY
      fi;
      send_write(o, owners[o].epoch, chosen);
      printf("STEP batch %d %d %d\n", o, w, chosen); SHOW(o); w = 0; chosen = 0 }

  /* The answer to the swap arrives. */
  :: d_step { writes[SLOT(o, 0)].state == DONE || writes[SLOT(o, 1)].state == DONE ->
      chosen = (writes[SLOT(o, 0)].state == DONE -> 0 : 1);
      adopt(o, writes[SLOT(o, chosen)].expected + 1, writes[SLOT(o, chosen)].epoch,
        writes[SLOT(o, chosen)].claim);
      free_write(SLOT(o, chosen));
      printf("STEP done %d %d\n", o, chosen); SHOW(o); chosen = 0 }
  :: d_step { writes[SLOT(o, 0)].state == CONFLICT || writes[SLOT(o, 1)].state == CONFLICT ->
      w = (writes[SLOT(o, 0)].state == CONFLICT -> 0 : 1);
      free_write(SLOT(o, w)); owners[o].needsRead = 1;
      printf("STEP conflict %d %d\n", o, w); SHOW(o); w = 0 }

  /* The owner stops waiting for the answer to the swap. */
  :: atomic { IS_CALLING(o) && unanswered < MAX_UNANSWERED ->
      unanswered++;
      w = ((writes[SLOT(o, 0)].state == FLIGHT || writes[SLOT(o, 0)].state == DONE ||
            writes[SLOT(o, 0)].state == CONFLICT) -> 0 : 1);
#ifdef MISTAKE_GRANT_ON_UNKNOWN
      chosen = w;
      adopt(o, writes[SLOT(o, chosen)].expected + 1, writes[SLOT(o, chosen)].epoch,
        writes[SLOT(o, chosen)].claim);
      if
      :: writes[SLOT(o, chosen)].state == FLIGHT -> writes[SLOT(o, chosen)].state = LATE
      :: else -> free_write(SLOT(o, chosen))
      fi;
#else
      writes[SLOT(o, w)].doubtful = 1; owners[o].needsRead = 1;
      if
      :: writes[SLOT(o, w)].state == FLIGHT && writes[SLOT(o, w)].expected == revision ->
        writes[SLOT(o, w)].state = LATE
      :: else -> writes[SLOT(o, w)].state = GONE
      fi;
#endif
      printf("STEP unknown %d %d\n", o, w); SHOW(o); w = 0; chosen = 0 }
  od
}

/*
 * The platform applies sent writes in any order, refuses them, or loses them. When the revision changes,
 * LATE writes end at once: they could only be refused, and no owner waits for the answer.
 */
#define CAN_ARRIVE(s) (writes[s].state == FLIGHT || writes[s].state == LATE)

inline arrive(s) {
  if
  :: writes[s].expected == revision ->
    printf("STEP apply %d\n", s);
    revision++; epoch = writes[s].epoch; claim = writes[s].claim; writer = s;
    if
    :: writes[s].state == FLIGHT -> writes[s].state = DONE
    :: else
    fi;
    for (t : 0 .. 3) {
      if
      :: writes[t].state == LATE && writes[t].doubtful -> writes[t].state = GONE
      :: writes[t].state == LATE && !writes[t].doubtful -> free_write(t)
      :: else
      fi
    }
    t = 0
  :: writes[s].expected != revision -> writes[s].state = CONFLICT
  :: writes[s].state == LATE && writes[s].doubtful -> writes[s].state = GONE
  :: writes[s].state == LATE && !writes[s].doubtful -> free_write(s)
  fi
}

proctype Platform() {
  byte t;
end:
  do
  :: atomic { CAN_ARRIVE(0) -> arrive(0) }
  :: atomic { CAN_ARRIVE(1) -> arrive(1) }
  :: atomic { CAN_ARRIVE(2) -> arrive(2) }
  :: atomic { CAN_ARRIVE(3) -> arrive(3) }
  od
}

proctype Request(byte a) {
end:
  do
  :: d_step { request[a] == ASKING && HAS(grants, a) ->
      grants = grants & ~BIT(a); request[a] = RAN; dispatched++;
      assert(dispatched <= 1) }
  /* The request gives up: it timed out, another request holds the key, or it was granted the key but is
     known not to have been dispatched. */
  :: d_step { request[a] == ASKING -> request[a] = GAVE_UP }
#ifdef MISTAKE_LATE_GRANT
  :: d_step { request[a] == GAVE_UP && HAS(grants, a) -> request[a] = RAN; dispatched++;
      assert(false) }
#endif
  od
}

init {
  atomic {
    owners[0].claim = NOBODY; owners[1].claim = NOBODY;
    run Owner_(0); run Owner_(1); run Platform(); run Request(1); run Request(2)
  }
}
