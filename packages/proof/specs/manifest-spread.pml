/*
 * Spread of the manifest. Three instances get accepted revisions from the platform and from each other,
 * put them into force, and restart, at most one at a time, also during outages of the platform. How a
 * revision is accepted is specified in manifest-accept.pml; here the root's revision is only incremented.
 * Comments name the steps; docs/proof/manifest.md maps them to the code.
 *
 * Checked: no instance, over all its processes, puts a lower revision into force than it had before.
 *
 * Seeded mistakes: -DTRUST_ONE_PEER (a starting instance uses the first peer's answer without waiting for
 * the other), -DAPPLY_ALONE (a revision comes into force before another instance holds it),
 * -DAPPLY_LOWER (a peer's revision is adopted even if it is lower), -DSTALE_KEEPER (a keeper's
 * confirmation counts that was sent before this instance held the revision; the keeper may have restarted
 * since and lost it).
 */
#define INSTANCES 3
#define MAX_REVISION 3
#define MAX_RESTARTS 3
#define MAX_OUTAGES 2

byte root = 0;
bool up = true;
byte outages = 0;

/* An instance loses its state in a restart, except `highest`, which serves only the check. */
byte held[INSTANCES];
byte kept[INSTANCES];     /* revision that a keeper confirmed that it holds */
byte in_force[INSTANCES];
byte highest[INSTANCES];
byte down = 0;            /* instance + 1 that is starting; 0: none */
byte restarts = 0;

/* step: accept */
proctype Acceptance() {
end_acceptance:
  do
  :: atomic { up && root < MAX_REVISION -> root++ }
  od
}

/* step: outage */
proctype Outages() {
end_outages:
  do
  :: atomic { up && outages < MAX_OUTAGES -> up = false; outages++ }
  :: atomic { !up -> up = true }
  od
}

/* A keeper's confirmation counts only if sent after this instance held the revision: see STALE_KEEPER. */
inline forget_keeper(me) {
#ifndef STALE_KEEPER
  kept[me] = 0
#else
  skip
#endif
}

inline put_in_force(me) {
  in_force[me] = held[me];
  assert(in_force[me] >= highest[me]);
  highest[me] = in_force[me]
}

proctype Instance(byte me) {
  byte a, b, answer;
  a = (me + 1) % INSTANCES;
  b = (me + 2) % INSTANCES;

end_instance:
  do
  /* step: learn-platform */
  :: atomic { up && root > held[me] -> held[me] = root; forget_keeper(me) }
  /* A fetch that started before the last acceptance returns an older revision. */
  :: atomic { up && root > held[me] -> held[me]++; forget_keeper(me) }
  /* step: learn-peer */
#ifdef APPLY_LOWER
  :: atomic { down != a + 1 && held[a] > 0 && held[a] != held[me] -> held[me] = held[a] }
#else
  :: atomic { down != a + 1 && held[a] > held[me] -> held[me] = held[a]; forget_keeper(me) }
#endif
  :: atomic { down != b + 1 && held[b] > held[me] -> held[me] = held[b]; forget_keeper(me) }
  /* step: hear-keeper */
  :: atomic { down != a + 1 && kept[me] < held[me] && held[a] >= held[me] -> kept[me] = held[a] }
  :: atomic { down != b + 1 && kept[me] < held[me] && held[b] >= held[me] -> kept[me] = held[b] }
  /* step: put-in-force */
#ifdef APPLY_ALONE
  :: atomic { held[me] != in_force[me] -> put_in_force(me) }
#else
#ifdef APPLY_LOWER
  :: atomic { held[me] != in_force[me] -> put_in_force(me) }
#else
  :: atomic { held[me] > in_force[me] && kept[me] >= held[me] -> put_in_force(me) }
#endif
#endif
  /* step: restart */
  :: atomic {
      down == 0 && restarts < MAX_RESTARTS ->
      down = me + 1;
      restarts++;
      held[me] = 0;
      kept[me] = 0;
      in_force[me] = 0;
      answer = 0;
      goto start
    }
  od;

start:
  if
  /* step: start-platform */
  :: atomic { up -> held[me] = root; down = 0; goto end_instance }
  /* step: start-peers */
  :: atomic { answer = held[a] };
#ifndef TRUST_ONE_PEER
    atomic {
      if
      :: held[b] > answer -> answer = held[b]
      :: else
      fi
    };
#endif
    atomic {
      held[me] = answer;
      kept[me] = answer;
      answer = 0;
      down = 0;
      if
      :: held[me] > 0 -> put_in_force(me)
      :: else
      fi;
      goto end_instance
    }
  fi
}

init {
  atomic {
    run Acceptance();
    run Outages();
    run Instance(0);
    run Instance(1);
    run Instance(2)
  }
}
