/**
 * Implements the operations of the callers' port with the manifest in force and the request router.
 */
import type { TimerService } from '@skylarksail/core/CoreTimers';
import { hash64Hex } from '@skylarksail/core/CoreHash';
import type { ManifestTeam } from '@skylarksail/manifest/ManifestSchema';
import type { ManifestView } from '@skylarksail/manifest/ManifestView';
import type { RequestRouter } from '@skylarksail/requests/RequestRouter';
import { isIdempotentCall } from '@skylarksail/requests/ServiceTypes';
import type { CallerGateway } from './DaemonGateway.js';
import type { DaemonManifest } from './DaemonManifest.js';
import { ProblemKind, createNotRunError } from './DaemonProblems.js';
import type { ReportError } from './DaemonReplies.js';

const NOT_READY_RETRY_MS = 1000;
const MILLIS_PER_SECOND = 1000;
const PREFIX_STEP_CHARACTERS = 1024;
const MAX_PREFIX_KEYS = 8;

export interface CallerGatewayOptions {
  readonly timers: TimerService;
  readonly wallNow: () => number;
  readonly manifest: DaemonManifest;
  readonly router: RequestRouter;
  /** Whether new requests are still accepted. */
  readonly isAccepting: () => boolean;
  readonly reportError: ReportError;
}

export function createCallerGateway(options: CallerGatewayOptions): CallerGateway {
  const { timers, manifest, router } = options;

  function getView(): ManifestView {
    const view = manifest.getView();
    if (!view) {
      throw createNotRunError(ProblemKind.NoCapacity, 'no manifest yet', NOT_READY_RETRY_MS);
    }
    return view;
  }

  function checkAccepting(): void {
    if (!options.isAccepting()) {
      throw createNotRunError(ProblemKind.Stopping, undefined, NOT_READY_RETRY_MS);
    }
  }

  /**
   * A model that the team may not use gives the same error as one that does not exist, so that
   * teams cannot find out which other models there are.
   */
  function findModel(team: ManifestTeam, id: string, adapter: string | null) {
    const model = getView().getModel(id);
    const isAllowed = model !== undefined && team.models.includes(id);
    if (!isAllowed || (adapter !== null && !model.adapters.includes(adapter))) {
      throw createNotRunError(ProblemKind.NotFound, 'no such model');
    }
    return model;
  }

  return {
    timers,
    reportError: options.reportError,
    authenticate(key) {
      const team = getView().getTeamByKey(key);
      if (!team) {
        throw createNotRunError(ProblemKind.Unauthorized);
      }
      return team;
    },
    getLimits: () => getView().limits,
    getService(team, id) {
      const service = getView().getService(id);
      if (!service || !team.services.includes(id)) {
        throw createNotRunError(ProblemKind.NotFound, 'no such service');
      }
      return service;
    },
    listModels: (team) =>
      getView()
        .models.filter(({ id }) => team.models.includes(id))
        .map(({ id, adapters }) => ({ id, adapters })),
    submitCompletion(id, team, ask, requestOptions, sink) {
      checkAccepting();
      const model = findModel(team, ask.model, ask.adapter);
      const { prompt } = ask;
      const prefixKeys = createPrefixKeys(prompt);
      return router.submit(
        {
          id,
          team: team.id,
          model: model.id,
          variant: { model: model.id, version: model.serve, adapter: ask.adapter },
          layerCount: model.layers,
          prompt,
          maxTokens: Math.min(ask.maxTokens, model.maxContextTokens),
          priority: requestOptions.priority,
          deadline: timers.now() + requestOptions.timeLeft,
          idempotencyKey: requestOptions.idempotencyKey,
          idempotent: requestOptions.idempotencyKey === null,
          // Callers of this interface name no parts; unlike prompts share how they begin.
          sharedParts: prefixKeys,
          prefixKeys,
        },
        sink,
      );
    },
    submitService(id, team, ask, requestOptions, sink) {
      checkAccepting();
      const { service, method, path, headers, body } = ask;
      return router.submitService(
        {
          id,
          team: team.id,
          service: service.id,
          method,
          path,
          headers,
          body,
          priority: requestOptions.priority,
          deadline: timers.now() + Math.min(requestOptions.timeLeft, service.timeoutMs),
          idempotencyKey: requestOptions.idempotencyKey,
          idempotent: isIdempotentCall(method, path, service.routes),
        },
        sink,
      );
    },
    getUnixSeconds: () => Math.floor(options.wallNow() / MILLIS_PER_SECOND),
  };
}

/**
 * Hashes of increasingly long prefixes of a prompt, shortest first. Routing compares them with those
 * of the prefixes that engines have cached.
 */
function createPrefixKeys(prompt: string): readonly string[] {
  const count = Math.min(MAX_PREFIX_KEYS, Math.floor(prompt.length / PREFIX_STEP_CHARACTERS));
  return Array.from({ length: count }, (_, i) =>
    hash64Hex(prompt.slice(0, (i + 1) * PREFIX_STEP_CHARACTERS)),
  );
}
