import type {FleetMembers} from '../fleet/fleet_members.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {createCauseLookup} from './cause_lookup.js';
import {createCauseTrials} from './cause_trials.js';
import {createCrashEvidence, type CrashEvidence} from './crash_evidence.js';
import {createCrashLedger} from './crash_ledger.js';
import {createPromptGate, type PromptGate} from './prompt_gate.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import {createQuarantineGossip} from './quarantine_gossip.js';
import {createQuarantineList} from './quarantine_list.js';
import {createQuarantineSync} from './quarantine_sync.js';
import {createRequestEnds} from './request_ends.js';
import type {SuspectRequest} from './suspect_request.js';
import {createVerdicts} from './verdicts.js';

/** Keeps requests away from engines that would end under them. */
export interface Quarantine
  extends
    GatewayFeature,
    Omit<PromptGate, 'renewTrials'>,
    Pick<CrashEvidence, 'engineEnded'> {
  /** An engine has answered a request. */
  answered(ctx: GatewayContext, req: SuspectRequest): void;
  /** Engines that may end soon. */
  endpointsOnTrial(nowMs: number): Set<string>;
  entries(): QuarantineEntry[];
  /** Suspected parts and requests. */
  suspects(nowMs: number): string[];
  /** The store may have lost verdicts; they are saved again. */
  storeRestored(): void;
}

/** Dependencies of the quarantine. */
export interface QuarantineParts {
  members: FleetMembers;
  /** Whether this gateway speaks to the store for the fleet. */
  isReader(nowMs: number): boolean;
  storeReachable(): boolean;
  /** A cause is quarantined from now on. */
  onQuarantined(ctx: GatewayContext): void;
}

/** Creates a quarantine that knows of no cause. */
export function createQuarantine(parts: QuarantineParts): Quarantine {
  const ends = createRequestEnds();
  const list = createQuarantineList();
  const shared = {
    ...parts,
    ends,
    list,
    causesOf: createCauseLookup(ends, list),
    ledger: createCrashLedger(),
    trials: createCauseTrials(),
    gossip: createQuarantineGossip(parts.members),
  };
  const {causesOf, ledger, trials} = shared;
  const verdicts = createVerdicts(shared);
  const evidence = createCrashEvidence({...shared, verdicts});
  const {renewTrials, ...gate} = createPromptGate({...shared, verdicts});
  const sync = createQuarantineSync({...shared, adopt: verdicts.adopt});

  return {
    ...gate,
    answered: (ctx, req) => evidence.answered(ctx, causesOf(req)),
    engineEnded: evidence.engineEnded,
    endpointsOnTrial: trials.endpoints,
    entries: list.all,
    storeRestored: list.storeRestored,
    suspects: nowMs => [...ledger.suspects(nowMs), ...ends.suspects()],
    handlers: {
      ...sync.handlers,
      peer_received: (ctx, event) => {
        const {from, message} = event;
        if (message.kind === 'crash_news') {
          return evidence.newsReceived(ctx, from, message);
        }
        sync.handlers.peer_received?.(ctx, event);
      },
      lift_requested: (ctx, {cause}) => verdicts.lift(ctx, cause, 'operator'),
    },
    expire: ctx => {
      evidence.review(ctx);
      renewTrials(ctx);
      sync.expire?.(ctx);
    },
  };
}
