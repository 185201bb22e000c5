/*
 * The claim of a keyed request: one slot, one key, two owners and two requests that want the key.
 *
 * Every step is what one event does to the state machine ClaimSlot (docs/PROOF.md names the functions).
 * The platform keeps one head: revision, epoch, claim, and the write that stored it. A write may be
 * applied at any time after it was sent, also after its owner gave it up, and its answer may be lost.
 * Owners are paused by the checker's free choice of the next step.
 *
 * Checked: at most one request is dispatched, and none that was told "not run".
 *
 * Seeded mistakes, each of which must be caught:
 *   MISTAKE_NO_REREAD        after losing a swap the owner goes on from the new revision with what it
 *                            believed before
 *   MISTAKE_GRANT_ON_UNKNOWN a swap without an answer is taken to have won
 *   MISTAKE_RELEASE_FOUND    an ask that runs out of time at an owner releases a claim found in the head
 *   MISTAKE_SILENT_IS_NEVER  a holder that does not reply is taken to have given up
 *   MISTAKE_LATE_GRANT       a request told "not run" is dispatched when its grant comes after all
 */
#ifndef MAX_REVISION
#define MAX_REVISION 5
#endif

/* Swaps whose answer an owner never gets, in the whole run. */
#ifndef MAX_UNANSWERED
#define MAX_UNANSWERED 2
#endif

#define OWNERS 2
#define WRITES 2              /* writes of one owner that may be under way or in doubt */
#define SLOT(o, w) ((o) * WRITES + (w))
#define NOBODY 0
#define BIT(a) (1 << (a))
#define HAS(set, a) (((set) >> (a)) & 1)

/* States of a write. */
#define FREE 0
#define FLIGHT 1              /* sent; the owner waits */
#define LATE 2                /* the owner gave it up; it may still be applied */
#define DONE 3                /* applied; the answer is under way */
#define CONFLICT 4            /* refused; the answer is under way */
#define GONE 5                /* can no longer be applied, but the owner cannot know */

/* Phases of a slot at an owner; loading of sealed segments is part of taking here. */
#define IDLE 0
#define TAKING 1
#define HELD 2

/* States of a request. */
#define ASKING 0
#define RAN 1
#define GAVE_UP 2             /* told "not run"; never dispatched from here on */

typedef Write { byte state; byte expected; byte epoch; byte claim; bit doubtful };

/* The platform's head. */
byte revision = 0; byte epoch = 0; byte claim = NOBODY; byte writer = 255;
Write writes[4];

typedef Owner {
  byte phase; bit isKnown; byte revision; byte epoch; byte claim;
  byte waiting; byte released; bit needsRead
};
Owner owners[OWNERS];

byte request[3];              /* 1 and 2 */
byte grants = 0;              /* grants on their way to a request */
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

/* A write that only this owner's new use of its place could be mistaken for gets no name any more. */
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
/* A write under way or in doubt that would put in the ask's claim. */
#define PUTS_IN(o, w, a) (writes[SLOT(o, w)].claim == (a) && owners[o].claim != (a) && \
  (writes[SLOT(o, w)].doubtful || writes[SLOT(o, w)].state == FLIGHT || \
   writes[SLOT(o, w)].state == DONE || writes[SLOT(o, w)].state == CONFLICT))

/* Told in simulations only; the replay against ClaimSlot reads these lines. */
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
  /* An ask comes in: the first, one sent again, or a copy that is late by any time. */
  :: d_step { CAN_ASK(o, 1) -> take_ask(o, 1); printf("STEP ask %d 1\n", o); SHOW(o) }
  :: d_step { CAN_ASK(o, 2) -> take_ask(o, 2); printf("STEP ask %d 2\n", o); SHOW(o) }

  /* An ask is answered from the known head. */
  :: d_step { owners[o].phase == HELD && owners[o].waiting != 0 && !IS_FREED(o) ->
      if
      :: HAS(owners[o].waiting, owners[o].claim) -> grants = grants | BIT(owners[o].claim)
      :: else
      fi;
      owners[o].waiting = 0; printf("STEP answer %d\n", o); SHOW(o) }

  /* An ask runs out of time. */
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

  /* The holder of the claim says that it was never dispatched, or its release comes in. */
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

  /* The head is read. What follows may come any time later, so a stale answer needs no step. */
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

  /* The slot is taken by a swap that raises the epoch and keeps the claim. */
  :: d_step { owners[o].phase == TAKING && CAN_WRITE(o) ->
      send_write(o, owners[o].epoch + 1, owners[o].claim);
      printf("STEP take %d %d\n", o, w); SHOW(o); w = 0 }

  /* A batch: a claim put in, or a released one taken out. */
  :: atomic { owners[o].phase == HELD && CAN_WRITE(o) && IS_FREED(o) &&
        (owners[o].waiting != 0 || owners[o].claim != NOBODY) ->
      if
      :: HAS(owners[o].waiting, 1) -> chosen = 1
      :: HAS(owners[o].waiting, 2) -> chosen = 2
      :: owners[o].waiting == 0 -> chosen = NOBODY
      fi;
      send_write(o, owners[o].epoch, chosen);
      printf("STEP batch %d %d %d\n", o, w, chosen); SHOW(o); w = 0; chosen = 0 }

  /* The swap's answer comes. */
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

  /* The owner gives up waiting for the swap's answer. */
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
 * Applies writes that were sent, in any order, or loses them. Late writes that the revision has passed
 * are struck out at once: they could only be refused, and nobody waits for that answer.
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
  /* Out of time, told that another has the key, or granted and then proven not to have run. */
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
