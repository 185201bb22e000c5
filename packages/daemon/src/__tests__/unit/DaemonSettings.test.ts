import { expect } from 'chai';
import { SettingsError } from '../../DaemonErrors.js';
import { createDefaultSettings, parseSettings } from '../../DaemonSettings.js';

describe('DaemonSettings', () => {
  it('accepts the settings that it prints as defaults', () => {
    const defaults = createDefaultSettings();
    expect(parseSettings(JSON.stringify(defaults))).to.deep.equal(defaults);
  });

  // Guards against a misspelt limit that is silently ignored, and against a validation that stops
  // at the first fault, so that each restart reveals only one. The file has a host name instead of
  // an address, a wrong type, an unknown key and an invalid value.
  it('reports all faults together, each with its path', () => {
    const { callers, ...rest } = createDefaultSettings();
    const text = JSON.stringify({
      ...rest,
      callers: { ...callers, host: 'localhost' },
      limits: { bodyBytes: 'large', maxRuning: 5 },
      log: { level: 'loud' },
    });
    let message = '';
    try {
      parseSettings(text);
    } catch (err) {
      expect(err).to.be.instanceOf(SettingsError);
      message = (err as Error).message;
    }
    ['callers.host', 'limits.bodyBytes', 'maxRuning', 'log.level'].forEach((path) =>
      expect(message).to.contain(path),
    );
  });

  it('rejects a duplicate address, and a grace period that ends before the balancer lag', () => {
    const defaults = createDefaultSettings();
    const same = { ...defaults, admin: defaults.callers };
    expect(() => parseSettings(JSON.stringify(same))).to.throw(/admin: same address/);
    const shortGrace = { ...defaults, shutdown: { balancerLagMs: 5000, graceMs: 1000 } };
    expect(() => parseSettings(JSON.stringify(shortGrace))).to.throw(/shutdown.graceMs/);
  });
});
