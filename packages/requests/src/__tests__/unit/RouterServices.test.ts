import { expect } from 'chai';
import { createAdmission } from '../../RequestAdmission.js';
import { DEFAULT_LIMIT_CONFIG } from '../../RequestLimits.js';
import { createRouterServices, MAX_IDLE_SERVICES } from '../../RouterServices.js';

function createServices() {
  return createRouterServices(() =>
    createAdmission(
      {
        limits: DEFAULT_LIMIT_CONFIG,
        queueBound: 10,
        getTeamLimits: () => ({ share: 1, queueLimit: 10 }),
        getKvCapacity: () => null,
      },
      0,
    ),
  );
}

describe('RouterServices', () => {
  it('keeps few services, however many are called under new names', () => {
    // Guards against memory that grows with each service that was ever configured.
    const services = createServices();
    for (let i = 0; i < 1000; i++) {
      services.begin(`s${i}`);
      services.end(`s${i}`);
    }
    expect(services.count()).to.be.at.most(MAX_IDLE_SERVICES + 1);
  });

  it('keeps the admission of a service while calls to it run, and of those called last', () => {
    // Guards against a service that gets twice its limit of calls, as running ones were forgotten.
    const services = createServices();
    const busy = services.begin('busy');
    const steady = services.begin('steady');
    services.end('steady');
    for (let i = 0; i < 1000; i++) {
      services.begin(`s${i}`);
      services.end(`s${i}`);
      expect(services.begin('steady')).to.equal(steady);
      services.end('steady');
    }
    expect(services.begin('busy')).to.equal(busy);
  });
});
