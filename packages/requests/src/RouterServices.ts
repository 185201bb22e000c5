/** The admissions of the plain services that a router calls: one for each, so that a slow service holds up no other. */
import type { Millis, ServiceId } from '@skylarksail/core/CoreTypes';
import type { Admission } from './RequestAdmission.js';

/** Maximum number of services without calls; beyond it, the one without calls for longest is forgotten. */
export const MAX_IDLE_SERVICES = 64;

/** Admissions by service. */
export interface RouterServices {
  /** A call to a service begins; returns the service's admission, which stays the same until the call ends. */
  begin(service: ServiceId): Admission;
  end(service: ServiceId): void;
  sweep(now: Millis): void;
  /** Number of services whose admissions are kept. */
  count(): number;
}

interface UsedService {
  readonly admission: Admission;
  /** Number of calls that have begun and not ended. */
  readonly calls: number;
}

/** Starts without services. */
export function createRouterServices(create: () => Admission): RouterServices {
  /** In the order of their last begin or end. */
  const services = new Map<ServiceId, UsedService>();

  function put(service: ServiceId, used: UsedService): void {
    services.delete(service);
    services.set(service, used);
  }

  function forgetIdle(): void {
    const idle = [...services].filter(([, { calls }]) => calls === 0);
    idle.slice(0, -MAX_IDLE_SERVICES).forEach(([service]) => services.delete(service));
  }

  return {
    begin(service) {
      const known = services.get(service);
      const used = known ?? { admission: create(), calls: 0 };
      put(service, { ...used, calls: used.calls + 1 });
      if (!known) {
        forgetIdle();
      }
      return used.admission;
    },
    end(service) {
      const used = services.get(service);
      if (used) {
        put(service, { ...used, calls: used.calls - 1 });
      }
    },
    sweep: (now) => [...services.values()].forEach(({ admission }) => admission.sweep(now)),
    count: () => services.size,
  };
}
