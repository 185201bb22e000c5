import { expect } from 'chai';
import { SettingsError } from '../../DaemonErrors.js';
import { createDefaultSettings, parseSettings } from '../../DaemonSettings.js';

describe('DaemonSettings', () => {
  it('takes the settings that it prints as defaults', () => {
    const defaults = createDefaultSettings();
    expect(parseSettings(JSON.stringify(defaults))).to.deep.equal(defaults);
  });

  // Symptom: a misspelt limit is silently ignored, or faults come out one restart at a time.
  // Sequence: a settings file with an unknown key, a wrong type, a host name and a contradiction.
  // Cause: checks that stop at the first fault. All must be told together, each with its path.
  it('tells all faults together, each with its path', () => {
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

  it('refuses contradictions: one address twice, no time to end running requests', () => {
    const defaults = createDefaultSettings();
    const same = { ...defaults, admin: defaults.callers };
    expect(() => parseSettings(JSON.stringify(same))).to.throw(/admin: same address/);
    const hasty = { ...defaults, shutdown: { balancerLagMs: 5000, graceMs: 1000 } };
    expect(() => parseSettings(JSON.stringify(hasty))).to.throw(/shutdown.graceMs/);
  });
});
