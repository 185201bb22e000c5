/**
 * The runs of the model checker. A run names a file of specs/, the macros to define (bounds, options and a
 * seeded mistake), and the expected result: 'right' must verify without errors, 'mistake' must violate an
 * assertion. To add a specification, put its .pml into specs/ and its runs into this table.
 */
export const MODEL_RUNS = [
  {
    spec: 'claim.pml',
    name: 'two unanswered swaps',
    expect: 'right',
    defines: { MAX_REVISION: 3, MAX_UNANSWERED: 2 },
  },
  {
    spec: 'claim.pml',
    name: 'four changes of the head',
    expect: 'right',
    defines: { MAX_REVISION: 4, MAX_UNANSWERED: 1 },
  },
  {
    spec: 'claim.pml',
    name: 'owner goes on after losing a swap',
    expect: 'mistake',
    defines: { MAX_REVISION: 4, MAX_UNANSWERED: 0, MISTAKE_NO_REREAD: 1 },
  },
  {
    spec: 'claim.pml',
    name: 'unanswered swap taken to have won',
    expect: 'mistake',
    defines: { MAX_REVISION: 3, MAX_UNANSWERED: 1, MISTAKE_GRANT_ON_UNKNOWN: 1 },
  },
  {
    spec: 'claim.pml',
    name: 'owner releases a claim that it found',
    expect: 'mistake',
    defines: { MAX_REVISION: 4, MAX_UNANSWERED: 0, MISTAKE_RELEASE_FOUND: 1 },
  },
  {
    spec: 'claim.pml',
    name: 'silent holder taken to have given up',
    expect: 'mistake',
    defines: { MAX_REVISION: 4, MAX_UNANSWERED: 0, MISTAKE_SILENT_IS_NEVER: 1 },
  },
  {
    spec: 'claim.pml',
    name: 'late grant dispatched after "not run"',
    expect: 'mistake',
    defines: { MAX_REVISION: 3, MAX_UNANSWERED: 1, MISTAKE_LATE_GRANT: 1 },
  },
  {
    spec: 'manifest-accept.pml',
    name: 'two submitters, each sending twice',
    expect: 'right',
    defines: {},
  },
  {
    spec: 'manifest-accept.pml',
    name: 'swap again blindly after an unknown outcome',
    expect: 'mistake',
    defines: { BLIND_RETRY: 1 },
  },
  {
    spec: 'manifest-accept.pml',
    name: 'unchanged root taken for proof',
    expect: 'mistake',
    defines: { TRUST_UNCHANGED: 1 },
  },
  {
    spec: 'manifest-accept.pml',
    name: "every lost swap taken for another's win",
    expect: 'mistake',
    defines: { NO_HISTORY: 1 },
  },
  {
    spec: 'manifest-accept.pml',
    name: 'rejected swap taken for proof about an earlier one',
    expect: 'mistake',
    defines: { TRUST_REJECTION: 1 },
  },
  {
    spec: 'manifest-spread.pml',
    name: 'three instances, three restarts',
    expect: 'right',
    defines: {},
  },
  {
    spec: 'manifest-spread.pml',
    name: 'a start trusts one peer',
    expect: 'mistake',
    defines: { TRUST_ONE_PEER: 1 },
  },
  {
    spec: 'manifest-spread.pml',
    name: 'in force before anyone else holds it',
    expect: 'mistake',
    defines: { APPLY_ALONE: 1 },
  },
  {
    spec: 'manifest-spread.pml',
    name: 'a lower revision is taken',
    expect: 'mistake',
    defines: { APPLY_LOWER: 1 },
  },
  {
    spec: 'manifest-spread.pml',
    name: "a keeper's earlier word counts",
    expect: 'mistake',
    defines: { STALE_KEEPER: 1 },
  },
  {
    spec: 'orders.pml',
    name: 'an engine that ignores numbers, no pause after a look',
    expect: 'right',
    defines: { CHECKS: 0, MAX_FENCING: 2 },
  },
  {
    spec: 'orders.pml',
    name: 'an engine that checks numbers, any pause',
    expect: 'right',
    defines: { CHECKS: 1, PAUSES: 1, MAX_FENCING: 2 },
  },
  {
    spec: 'orders.pml',
    name: 'an engine that ignores numbers, any pause: mended within the window',
    expect: 'right',
    defines: { CHECKS: 0, PAUSES: 1, URGENT: 1, MAX_LOST: 0, MAX_FENCING: 2 },
  },
  {
    spec: 'orders.pml',
    name: 'lease counted from a late answer',
    expect: 'mistake',
    defines: { MAX_FENCING: 2, MISTAKE_LATE_DEADLINE: 1 },
  },
  {
    spec: 'orders.pml',
    name: 'successor does not wait',
    expect: 'mistake',
    defines: { MAX_FENCING: 2, MISTAKE_NO_QUIET: 1 },
  },
  {
    spec: 'orders.pml',
    name: 'order numbers without the fencing number',
    expect: 'mistake',
    defines: { CHECKS: 1, MAX_FENCING: 2, MISTAKE_COUNT_ONLY: 1 },
  },
  {
    spec: 'orders.pml',
    name: 'order without an answer taken for done',
    expect: 'mistake',
    defines: { MAX_FENCING: 2, MISTAKE_UNKNOWN_IS_DONE: 1 },
  },
  {
    spec: 'orders.pml',
    name: 'older report settles an order',
    expect: 'mistake',
    defines: { MAX_FENCING: 2, MISTAKE_EARLY_REPORT: 1 },
  },
  {
    spec: 'orders.pml',
    name: 'done order believed for ever',
    expect: 'mistake',
    defines: { PAUSES: 1, URGENT: 1, MAX_LOST: 0, MAX_FENCING: 2, MISTAKE_NO_READ_BACK: 1 },
  },
];
