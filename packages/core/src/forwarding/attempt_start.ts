import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {Work} from '../fleet/work.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import {choiceRequestOf} from './choice_request_of.js';
import type {ForwardedRequest} from './forwarded_request.js';
import {mayRunAgain} from './may_run_again.js';
import {logRoute} from './route_log.js';
import {startAttemptOf} from './start_attempt_of.js';
import {createWork} from './create_work.js';

/** Starts attempts and announces their work to peers. */
export interface AttemptStart {
  /** @param ticket id of the memory reservation on helpers; empty for none */
  start(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    ticket: string,
  ): void;
  /** Announces work that is or will be sent to endpoints. */
  announceWork(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    startedMs: number,
  ): Work;
}

/** Dependencies of the start of attempts. */
export interface AttemptStartParts {
  configuration: PublishedConfiguration;
  health: EndpointHealth;
  members: FleetMembers;
  gossip: FleetGossip;
  quarantine: Quarantine;
  /** Peer address of this gateway. */
  self: string;
}

/** Creates the start of attempts. */
export function createAttemptStart(parts: AttemptStartParts): AttemptStart {
  const {configuration, health, members, gossip, quarantine} = parts;
  let lastWorkId = 0;

  function start(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    ticket: string,
  ): void {
    const {nowMs} = ctx;
    const work =
      req.plannedStart?.work ?? announceWork(ctx, req, choice, nowMs);
    req.plannedStart = undefined;
    req.attempts += 1;
    req.history.started();
    req.current = {
      attempt: req.attempts,
      choice,
      work: work.id,
      startedMs: nowMs,
      lastProgressMs: nowMs,
      headMs: undefined,
      shortestGapMs: Number.POSITIVE_INFINITY,
      pieces: 0,
    };
    health.recordAttempt(choice.main.id, nowMs);
    quarantine.started(ctx, req.suspect, choice.main.id);
    const connection = connectionFor(nowMs, req);
    ctx.emit(startAttemptOf(req, choice, ticket, connection, nowMs));
    logRoute(ctx, req, choice, 'WL8301', configuration.version());
  }

  function announceWork(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    startedMs: number,
  ): Work {
    lastWorkId += 1;
    const wanted = choiceRequestOf(req, ctx.nowMs);
    const work = createWork(
      parts.self,
      lastWorkId,
      choice,
      wanted,
      ctx.nowMs,
      startedMs,
    );
    gossip.workStarted(work);
    return work;
  }

  function connectionFor(
    nowMs: number,
    req: ForwardedRequest,
  ): Pick<StartAttempt, 'maxConnections' | 'newConnection'> {
    const limit = configuration.service(req.service)?.connectionLimit ?? 0;
    const share = Math.floor(limit / members.aliveCount(nowMs));
    return {
      maxConnections: Math.max(1, share),
      // A reused connection may break just then, or carry an answer to an
      // earlier request, which would leave unknown whether the request ran.
      newConnection: !mayRunAgain(req, configuration.routes()),
    };
  }

  return {start, announceWork};
}
