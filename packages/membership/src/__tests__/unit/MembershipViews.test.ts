import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { stepMembership } from '../../MembershipMachine.js';
import { createMembershipState, DEFAULT_MEMBERSHIP_CONFIG } from '../../MembershipState.js';
import { getDomainView } from '../../MembershipViews.js';

describe('MembershipViews', () => {
  it('counts an instance that is leaving among those present, as its answers still run', () => {
    // Guards against engines that are given other layers while answers of a stopping instance run through them.
    const self = {
      id: 'a',
      domain: 'd1',
      rack: 'r1',
      address: { host: '127.0.0.1', port: 1 },
      peerPort: 2,
      bootId: 1,
      incarnation: 1,
    };
    const before = createMembershipState(self, 0, DEFAULT_MEMBERSHIP_CONFIG);
    const { state } = stepMembership(
      before,
      { kind: 'leaving' },
      { now: 0, random: createRandom(1) },
    );
    const { live, present } = getDomainView(state.members, 'd1');
    expect([live, present]).to.deep.equal([[], ['a']]);
  });
});
