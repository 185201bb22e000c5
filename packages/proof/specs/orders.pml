/*
 * Orders of placement: one lease, and two instances that want different holdings on one engine. A holder
 * is an instance that holds the lease or may acquire it.
 *
 * Each step of a holder applies one event to the state machine PlacementOrders (docs/proof/orders.md maps
 * steps to functions). An order is made in a step that first reads the lease, and leaves the process in a later
 * step (MADE to FLIGHT); with PAUSES any time may pass between the two. Calls and answers may be lost;
 * reports are up to LAG ticks old. With CHECKS the engine refuses an order whose number is lower than the
 * highest that it accepted.
 *
 * Checked: an order that a holder treats as done was accepted by the engine. Without PAUSES, or with CHECKS,
 * an engine never accepts an order of an older lease after one of a newer lease. With URGENT (no tick passes
 * while a holder has work to do) and no loss, the engine has the holding that the holder of the lease wants
 * within WINDOW ticks, even if orders arrive late.
 *
 * Seeded mistakes, each of which must violate an assertion:
 *   MISTAKE_LATE_DEADLINE   the holder measures its lease from the arrival of a late answer, and keeps no
 *                           margin
 *   MISTAKE_NO_QUIET        a new holder sends at once, without a quiet period, to an engine that ignores
 *                           order numbers
 *   MISTAKE_COUNT_ONLY      an order's number is the holder's count, without the lease's fencing number
 *   MISTAKE_UNKNOWN_IS_DONE an order without an answer is treated as done
 *   MISTAKE_EARLY_REPORT    a report with a lower number than the order's is taken as proof that the order
 *                           was done, and so is one with the same number, whatever the engine holds
 *   MISTAKE_NO_READ_BACK    an order that was done is trusted forever, whatever the engine reports later
 */
#ifndef CHECKS
#define CHECKS 0
#endif
#ifndef PAUSES
#define PAUSES 0
#endif
#ifndef URGENT
#define URGENT 0
#endif
#ifndef MAX_FENCING
#define MAX_FENCING 3
#endif
#ifndef MAX_COUNT
#define MAX_COUNT 2
#endif
#ifndef MAX_LOST
#define MAX_LOST 1
#endif
#ifndef WINDOW
#define WINDOW 3
#endif

#ifndef ORDERLY
#define ORDERLY 0
#endif

/*
 * In ticks: LIFE, the settings `validFor` and `transit` together, within which a sent order starts or never
 * does; LAG, the greatest age of a report; TTL, the duration of the lease.
 */
#define LIFE 2
#define LAG 1
#ifndef TTL
#define TTL 4
#endif
#ifdef MISTAKE_LATE_DEADLINE
#define SAFE (TTL + LIFE)
#else
#define SAFE (TTL - LIFE)
#endif
#ifdef MISTAKE_NO_QUIET
#define QUIET 0
#else
#define QUIET LIFE
#endif
#define GIVE_UP (LIFE + LAG)

#define COUNTS 4              /* order numbers per lease; ORDERS_PER_LEASE in the code */
#define NUMBERS (COUNTS * (MAX_FENCING + 1))
#define FENCING(n) ((n) / COUNTS)
#define WANT(o) ((o) + 1)
#define NOBODY 255

/* States of an order between its creation and its answer. */
#define FREE 0
#define MADE 1                /* made, but has not left the process yet */
#define FLIGHT 2
#define DONE 3                /* accepted; the answer is in flight */
#define REFUSED 4

typedef Message { byte state; byte owner; byte fencing; byte number; byte age; bit isWaited; byte highest };
Message messages[2];

typedef Holder {
  byte fencing; byte safe; byte quiet; byte count; bit hasRead;
  byte order; bit isUnknown; byte orderAge;           /* order 0: none */
  byte settled; byte settledAge;                      /* settled 0: none */
  byte seenHolding; byte seenNumber; byte highestSeen;
  bit isFresh                                         /* a report was read since the last tick */
};
Holder holders[2];

/* The platform's lease. */
byte leaseHolder = NOBODY; byte leaseFencing = 0; byte leaseLeft = 0;

/* The engine's holding and highest order number, and its latest report. */
byte holding = 0; byte number = 0;
byte reportHolding = 0; byte reportNumber = 0; byte reportAge = 0;

/* Only for the checks. */
bit taken[NUMBERS]; byte topFencing = 0; byte lost = 0; byte wrong = 0; byte wrongFor = NOBODY;

#define IS_PAUSED(o) ((messages[0].state == MADE && messages[0].owner == (o)) || \
  (messages[1].state == MADE && messages[1].owner == (o)))
#ifdef MISTAKE_NO_READ_BACK
#define BELIEVED(o) ((holders[o].settled != 0) -> WANT(o) : holders[o].seenHolding)
#else
#define BELIEVED(o) ((holders[o].settled != 0 && holders[o].settledAge < LAG) -> WANT(o) : holders[o].seenHolding)
#endif
#define CAN_SEND(o) (!IS_PAUSED(o) && holders[o].fencing != 0 && holders[o].hasRead && \
  holders[o].order == 0 && BELIEVED(o) != WANT(o) && (CHECKS || holders[o].quiet == 0) && \
  holders[o].count < MAX_COUNT && (messages[0].state == FREE || messages[1].state == FREE))
#define IS_ANSWERED(o, m) (messages[m].owner == (o) && messages[m].isWaited && \
  (messages[m].state == DONE || messages[m].state == REFUSED))
#define NEEDS_WORK(o) (!IS_PAUSED(o) && (IS_ANSWERED(o, 0) || IS_ANSWERED(o, 1) || CAN_SEND(o) || \
  (holders[o].fencing != 0 && !holders[o].isFresh)))

/* Printed in simulations only; OrdersModel.test.ts replays these lines against PlacementOrders. */
#define SHOW(o) printf("STATE %d %d %d %d %d %d\n", o, holders[o].fencing, holders[o].order, \
  holders[o].isUnknown, holders[o].settled, holders[o].seenHolding)

inline free_message(m) {
  messages[m].state = FREE; messages[m].owner = 0; messages[m].fencing = 0; messages[m].number = 0;
  messages[m].age = 0; messages[m].isWaited = 0; messages[m].highest = 0
}

inline drop_lease(o) {
  holders[o].fencing = 0; holders[o].safe = 0; holders[o].quiet = 0; holders[o].count = 0;
  holders[o].hasRead = 0
}

inline clear_order(o) {
  holders[o].order = 0; holders[o].isUnknown = 0; holders[o].orderAge = 0
}

inline settle(o) {
  assert(taken[holders[o].order]);
  holders[o].settled = holders[o].order; holders[o].settledAge = 0;
  clear_order(o)
}

inline fail(o) {
  clear_order(o);
  holders[o].settled = 0; holders[o].settledAge = 0
}

/*
 * A fencing number above that of the holder's lease, seen for the first time, means that the other instance
 * has acquired a newer lease.
 */
inline note_fencing(o, seen) {
  if
  :: seen > holders[o].highestSeen ->
    holders[o].highestSeen = seen;
    if
    :: holders[o].fencing != 0 && seen > holders[o].fencing -> drop_lease(o)
    :: else
    fi
  :: else
  fi
}

inline settle_by_report(o) {
  if
  :: holders[o].order != 0 && holders[o].isUnknown ->
    if
    :: holders[o].seenNumber > holders[o].order -> clear_order(o)
#ifdef MISTAKE_EARLY_REPORT
    :: holders[o].seenNumber < holders[o].order -> holders[o].settled = holders[o].order; settle(o)
    :: holders[o].seenNumber == holders[o].order -> settle(o)
#else
    :: holders[o].seenNumber == holders[o].order && holders[o].seenHolding == WANT(o) -> settle(o)
    :: holders[o].seenNumber == holders[o].order && holders[o].seenHolding != WANT(o) -> fail(o)
    :: holders[o].seenNumber < holders[o].order && holders[o].orderAge >= GIVE_UP -> fail(o)
    :: holders[o].seenNumber < holders[o].order && holders[o].orderAge < GIVE_UP
#endif
    fi
#ifndef MISTAKE_NO_READ_BACK
  :: holders[o].order == 0 && holders[o].settled != 0 && holders[o].settledAge >= LAG &&
      holders[o].seenHolding != WANT(o) -> holders[o].settled = 0; holders[o].settledAge = 0
#endif
  :: else
  fi
}

inline take_answer(o, m) {
  if
  :: messages[m].number != holders[o].order
  :: messages[m].number == holders[o].order && messages[m].state == DONE -> settle(o)
  :: messages[m].number == holders[o].order && messages[m].state == REFUSED ->
    if
    :: messages[m].highest >= messages[m].number &&
        FENCING(messages[m].highest) == FENCING(messages[m].number) -> clear_order(o)
    :: else -> fail(o)
    fi
  fi;
  if
  :: messages[m].state == REFUSED -> note_fencing(o, FENCING(messages[m].highest))
  :: else
  fi
}

proctype Placer(byte o) {
  byte m;
end:
  do
  /* The holder acquires the free lease. */
  :: d_step { !IS_PAUSED(o) && holders[o].fencing == 0 && leaseLeft == 0 && leaseFencing < MAX_FENCING ->
      leaseFencing++; leaseHolder = o; leaseLeft = TTL;
      holders[o].fencing = leaseFencing; holders[o].safe = SAFE; holders[o].quiet = QUIET;
      holders[o].count = 0; holders[o].hasRead = 0;
      printf("STEP gain %d %d\n", o, leaseFencing); SHOW(o) }

  :: d_step { !IS_PAUSED(o) && holders[o].fencing != 0 && leaseHolder == o &&
        leaseFencing == holders[o].fencing && leaseLeft > 0 && leaseLeft < TTL ->
      leaseLeft = TTL; holders[o].safe = SAFE }

  /* The holder releases the lease because of a planned stop or because the duty moved. With ORDERLY it
     first waits until a report or a done order shows the wanted holding; otherwise few simulations
     would contain an order. */
  :: d_step { (!ORDERLY || (holders[o].hasRead && BELIEVED(o) == WANT(o))) && !IS_PAUSED(o) && holders[o].fencing != 0 && leaseHolder == o &&
        leaseFencing == holders[o].fencing && leaseLeft > 0 ->
      leaseLeft = 0; drop_lease(o); printf("STEP lose %d\n", o); SHOW(o) }

  /* A report is read. */
  :: d_step { !IS_PAUSED(o) && !holders[o].isFresh ->
      holders[o].isFresh = 1; holders[o].hasRead = 1;
      holders[o].seenHolding = reportHolding; holders[o].seenNumber = reportNumber;
      note_fencing(o, FENCING(reportNumber));
      settle_by_report(o);
      if
      :: holders[o].fencing == 0 -> holders[o].hasRead = 0
      :: else
      fi;
      printf("STEP read %d %d %d\n", o, reportHolding, reportNumber); SHOW(o) }

  /* The engine's holding differs from the planned one: an order is made. */
  :: d_step { CAN_SEND(o) ->
      m = (messages[0].state == FREE -> 0 : 1);
      holders[o].count++;
      messages[m].state = MADE; messages[m].owner = o; messages[m].fencing = holders[o].fencing;
      messages[m].isWaited = 1; messages[m].age = 0;
#ifdef MISTAKE_COUNT_ONLY
      messages[m].number = holders[o].count;
#else
      messages[m].number = holders[o].fencing * COUNTS + holders[o].count;
#endif
      holders[o].order = messages[m].number; holders[o].isUnknown = 0; holders[o].orderAge = 0;
      printf("STEP send %d %d\n", o, messages[m].number); SHOW(o); m = 0 }

  /* The order leaves the process. */
  :: d_step { IS_PAUSED(o) ->
      m = ((messages[0].state == MADE && messages[0].owner == o) -> 0 : 1);
      messages[m].state = FLIGHT; m = 0 }

  :: d_step { !IS_PAUSED(o) && (IS_ANSWERED(o, 0) || IS_ANSWERED(o, 1)) ->
      m = (IS_ANSWERED(o, 0) -> 0 : 1);
      take_answer(o, m);
      printf("STEP answer %d %d %d %d\n", o, messages[m].number, messages[m].state, messages[m].highest);
      free_message(m); SHOW(o); m = 0 }

  /* No answer arrives in time: the call or the answer is lost or late. */
  :: d_step { !IS_PAUSED(o) && holders[o].order != 0 && !holders[o].isUnknown && lost < MAX_LOST ->
      lost++;
      if
      :: messages[0].owner == o && messages[0].number == holders[o].order && messages[0].state != FREE -> m = 0
      :: else -> m = 1
      fi;
      if
      :: messages[m].owner == o && messages[m].number == holders[o].order && messages[m].state == FLIGHT ->
        messages[m].isWaited = 0
      :: messages[m].owner == o && messages[m].number == holders[o].order &&
          (messages[m].state == DONE || messages[m].state == REFUSED) -> free_message(m)
      :: else
      fi;
#ifdef MISTAKE_UNKNOWN_IS_DONE
      settle(o);
#else
      holders[o].isUnknown = 1;
#endif
      printf("STEP unknown %d\n", o); SHOW(o); m = 0 }
  od
}

#define HAS_ARRIVED(m) (messages[m].state == FLIGHT)

inline take(m) {
  if
  :: CHECKS && messages[m].number < number ->
    messages[m].state = REFUSED; messages[m].highest = number
  :: else ->
    /* No order of an older lease may be accepted after one of a newer lease. */
    assert((PAUSES && !CHECKS) || messages[m].fencing >= topFencing);
    if
    :: messages[m].fencing > topFencing -> topFencing = messages[m].fencing
    :: else
    fi;
    taken[messages[m].number] = 1;
    holding = WANT(messages[m].owner);
    number = (messages[m].number > number -> messages[m].number : number);
    messages[m].state = DONE
  fi;
  if
  :: !messages[m].isWaited -> free_message(m)
  :: else
  fi
}

proctype Engine() {
end:
  do
  :: d_step { HAS_ARRIVED(0) -> take(0) }
  :: d_step { HAS_ARRIVED(1) -> take(1) }
  /* A call is lost. Its holder stopped waiting for the answer in the step `unknown` before. */
  :: d_step { HAS_ARRIVED(0) && !messages[0].isWaited -> free_message(0) }
  :: d_step { HAS_ARRIVED(1) && !messages[1].isWaited -> free_message(1) }
  :: d_step { reportAge > 0 || reportHolding != holding || reportNumber != number ->
      reportHolding = holding; reportNumber = number; reportAge = 0 }
  od
}

/* An order starts less than LIFE ticks after it was sent, or never. */
#define IS_DUE(m) (messages[m].state == FLIGHT && messages[m].age + 1 >= LIFE)

inline pass_order(o) {
  if
  :: holders[o].order != 0 && holders[o].orderAge < GIVE_UP -> holders[o].orderAge++
  :: else
  fi;
  if
  :: holders[o].settled != 0 && holders[o].settledAge < LAG -> holders[o].settledAge++
  :: else
  fi;
  if
  :: holders[o].quiet > 0 -> holders[o].quiet--
  :: else
  fi;
  holders[o].isFresh = 0;
  printf("STEP pass %d\n", o); SHOW(o);
  if
  :: holders[o].safe > 1 -> holders[o].safe--
  :: holders[o].safe == 1 -> drop_lease(o); printf("STEP lose %d\n", o); SHOW(o)
  :: else
  fi
}

inline pass_message(m) {
  if
  :: messages[m].state == FLIGHT -> messages[m].age++
  :: else
  fi
}

/* Counts the ticks for which the engine's holding differs from the one that the holder of the lease wants. */
inline count_wrong() {
  if
  :: leaseLeft > 0 && holders[leaseHolder].fencing == leaseFencing && holders[leaseHolder].quiet == 0 &&
      !IS_PAUSED(leaseHolder) && holding != WANT(leaseHolder) && holders[leaseHolder].count < MAX_COUNT ->
    if
    :: wrongFor == leaseHolder -> wrong++
    :: else -> wrong = 1; wrongFor = leaseHolder
    fi;
    assert(wrong <= WINDOW)
  :: else -> wrong = 0; wrongFor = NOBODY
  fi
}

proctype Clock() {
end:
  do
  :: d_step { !IS_DUE(0) && !IS_DUE(1) && reportAge < LAG &&
        (PAUSES || (!IS_PAUSED(0) && !IS_PAUSED(1))) &&
        (!URGENT || (!NEEDS_WORK(0) && !NEEDS_WORK(1))) ->
      if
      :: URGENT -> count_wrong()
      :: else
      fi;
      pass_message(0); pass_message(1);
      pass_order(0); pass_order(1);
      reportAge++;
      if
      :: leaseLeft > 0 -> leaseLeft--
      :: else
      fi }
  od
}

init {
  atomic { run Placer(0); run Placer(1); run Engine(); run Clock() }
}
