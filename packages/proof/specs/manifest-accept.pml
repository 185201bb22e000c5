/*
 * Acceptance of the manifest. Submitters compete to replace the root by a compare-and-swap, whose call or
 * answer may be lost and which may be applied after any delay. If the outcome stays unknown, a submitter
 * sends its submission again under the same id. Comments name the steps; docs/proof/manifest.md maps them
 * to the code.
 *
 * The platform may also reject a swap without a look at the root, which says nothing about earlier ones.
 *
 * Checked: a submission takes effect at most once; an acceptance or refusal that a submitter reports is
 * correct and stays so. "Unavailable" is reported of one sending: it is wrong if a write of that sending
 * has taken effect or still can.
 *
 * Seeded mistakes: -DBLIND_RETRY (after an unknown outcome, swap again from the current root),
 * -DTRUST_UNCHANGED (treat an unchanged root as proof that the lost write has no effect),
 * -DNO_HISTORY (treat every conflict as caused by another submitter, without a look at the history),
 * -DTRUST_REJECTION (treat a rejected swap as proof that an earlier, unanswered one has no effect).
 */
#ifndef SUBMITTERS
#define SUBMITTERS 2 /* with 3, a run takes a minute and 4.2 GB */
#endif
#define MAX_REVISION 4
#define MAX_ROUNDS 2 /* how often a submitter sends its submission */
#define MAX_TRIES 2  /* swaps for each time that it is sent */

mtype = { DONE, CONFLICT, REJECTED, UNKNOWN };

/* The platform. */
byte root = 0;
byte history[MAX_REVISION + 1];   /* submitter + 1 that made each revision; 0: none */
byte late[SUBMITTERS * MAX_ROUNDS]; /* expected revision + 1 of each write in flight; 0: none */

/* Whether a submitter reported a refusal. */
bool refused[SUBMITTERS];
/* Whether a sending made a revision. */
bool applied[SUBMITTERS * MAX_ROUNDS];

inline find_own(me, found) {
  found = 0;
  if
  :: history[1] == me + 1 -> found = 1
  :: else ->
    if
    :: history[2] == me + 1 -> found = 2
    :: else ->
      if
      :: history[3] == me + 1 -> found = 3
      :: else ->
        if
        :: history[4] == me + 1 -> found = 4
        :: else
        fi
      fi
    fi
  fi
}

inline accept(me, sending) {
  applied[sending] = true;
  assert(root < MAX_REVISION);
  assert(history[1] != me + 1 && history[2] != me + 1 && history[3] != me + 1 && history[4] != me + 1);
  assert(!refused[me]);
  root++;
  history[root] = me + 1
}

proctype Submitter(byte me) {
  byte expected, tries, round, found;
  bool unsure; /* whether a swap of this sending was not answered */
  mtype outcome;

send:
  /* step: read-base */
  atomic {
    expected = root;
    tries = 0;
    find_own(me, found);
    if
    :: found > 0 -> goto accepted
    :: else
    fi
  }

swap:
  /* step: swap-root */
  atomic {
    tries++;
    if
    :: root == expected -> accept(me, me * MAX_ROUNDS + round); outcome = DONE
    :: root == expected -> accept(me, me * MAX_ROUNDS + round); outcome = UNKNOWN /* answer lost */
    :: root != expected -> outcome = CONFLICT
    :: outcome = REJECTED
    :: outcome = UNKNOWN                                        /* call lost */
    :: late[me * MAX_ROUNDS + round] == 0 -> late[me * MAX_ROUNDS + round] = expected + 1; outcome = UNKNOWN
    fi;
    unsure = unsure || outcome == UNKNOWN
  }
  if
  :: outcome == DONE -> found = expected + 1; goto accepted
  :: outcome == CONFLICT -> goto settle
  :: outcome == REJECTED -> goto unresolved
  :: outcome == UNKNOWN ->
#ifdef BLIND_RETRY
    if
    :: tries < MAX_TRIES -> expected = root; goto swap
    :: else
    fi;
#endif
#ifdef TRUST_UNCHANGED
    atomic {
      if
      :: root == expected -> refused[me] = true; goto end_submitter
      :: else
      fi
    }
#endif
    if
    :: tries < MAX_TRIES -> goto swap
    :: else -> goto again                                       /* reported as unknown */
    fi
  fi;

settle:
  /* step: read-winner */
  atomic {
#ifdef NO_HISTORY
    found = 0;
#else
    find_own(me, found);
#endif
    if
    :: found > 0 -> goto accepted
    :: goto unresolved                                          /* the history cannot be read */
    :: found == 0 ->
      assert(history[1] != me + 1 && history[2] != me + 1 && history[3] != me + 1);
      refused[me] = true;
      goto end_submitter
    fi
  }

unresolved:
  atomic {
#ifndef TRUST_REJECTION
    if
    :: unsure -> goto again                                     /* reported as unknown */
    :: else
    fi;
#endif
    /* No write of this sending took effect, and none in flight still can: revisions only rise. */
    assert(!applied[me * MAX_ROUNDS + round]);
    assert(late[me * MAX_ROUNDS + round] <= root)
  }

again:
  atomic {
    unsure = false;
    outcome = 0;
    if
    :: round + 1 < MAX_ROUNDS -> round++; goto send
    :: else -> goto end_submitter
    fi
  }

accepted:
  assert(history[found] == me + 1);

end_submitter:
  /* Variables that are not read any more are cleared, which keeps the number of states low. */
  atomic { expected = 0; tries = 0; round = 0; found = 0; unsure = false; outcome = 0 }
}

inline land(slot) {
  atomic {
    late[slot] > 0 ->
    if
    :: root == late[slot] - 1 -> accept(slot / MAX_ROUNDS, slot)
    :: else
    fi;
    late[slot] = 0
  }
}

proctype LateWrites() {
end_late:
  do
  /* step: land-late */
  :: land(0)
  :: land(1)
  :: land(2)
  :: land(3)
#if SUBMITTERS > 2
  :: land(4)
  :: land(5)
#endif
  od
}

init {
  atomic {
    run Submitter(0);
    run Submitter(1);
#if SUBMITTERS > 2
    run Submitter(2);
#endif
    run LateWrites()
  }
}
