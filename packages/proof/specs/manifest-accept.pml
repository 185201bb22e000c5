/*
 * Acceptance of the manifest. Submitters compete to replace the root by a compare-and-swap, whose call or
 * answer may be lost and which may be applied after any delay. If the outcome stays unknown, a submitter
 * sends its submission again under the same id. Comments name the steps; docs/proof/manifest.md maps them
 * to the code.
 *
 * Checked: a submission takes effect at most once; an acceptance or refusal that a submitter reports is
 * correct and stays so.
 *
 * Seeded mistakes: -DBLIND_RETRY (after an unknown outcome, swap again from the current root),
 * -DTRUST_UNCHANGED (treat an unchanged root as proof that the lost write has no effect),
 * -DNO_HISTORY (treat every conflict as caused by another submitter, without a look at the history).
 */
#ifndef SUBMITTERS
#define SUBMITTERS 2 /* with 3, a run takes about 20 seconds */
#endif
#define MAX_REVISION 4
#define MAX_ROUNDS 2 /* how often a submitter sends its submission */
#define MAX_TRIES 2  /* swaps for each time that it is sent */

mtype = { DONE, CONFLICT, UNKNOWN };

/* The platform. */
byte root = 0;
byte history[MAX_REVISION + 1];   /* submitter + 1 that made each revision; 0: none */
byte late[SUBMITTERS * MAX_ROUNDS]; /* expected revision + 1 of each write in flight; 0: none */

/* Whether a submitter reported a refusal. */
bool refused[SUBMITTERS];

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

inline accept(me) {
  assert(root < MAX_REVISION);
  assert(history[1] != me + 1 && history[2] != me + 1 && history[3] != me + 1 && history[4] != me + 1);
  assert(!refused[me]);
  root++;
  history[root] = me + 1
}

proctype Submitter(byte me) {
  byte expected, tries, round, found;
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
    :: root == expected -> accept(me); outcome = DONE
    :: root == expected -> accept(me); outcome = UNKNOWN        /* answer lost */
    :: root != expected -> outcome = CONFLICT
    :: outcome = UNKNOWN                                        /* call lost */
    :: late[me * MAX_ROUNDS + round] == 0 -> late[me * MAX_ROUNDS + round] = expected + 1; outcome = UNKNOWN
    fi
  }
  if
  :: outcome == DONE -> found = expected + 1; goto accepted
  :: outcome == CONFLICT -> goto settle
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
    :: tries >= MAX_TRIES && round + 1 < MAX_ROUNDS -> round++; goto send
    :: else -> goto end_submitter                               /* reported as unknown */
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
    :: else ->
      assert(history[1] != me + 1 && history[2] != me + 1 && history[3] != me + 1);
      refused[me] = true;
      goto end_submitter
    fi
  }

accepted:
  assert(history[found] == me + 1);

end_submitter:
  skip
}

inline land(slot) {
  atomic {
    late[slot] > 0 ->
    if
    :: root == late[slot] - 1 -> accept(slot / MAX_ROUNDS)
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
