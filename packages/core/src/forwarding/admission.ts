import {pickService} from '../configuration/pick_service.js';
import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import {createSuspectRequest} from '../quarantine/suspect_request.js';
import {createAttemptHistory} from '../requests/attempt_history.js';
import {Err, Ok, type Result} from '../shared/result.js';
import type {RandomSource} from '../types/random_source.js';
import type {WorkModel} from '../work_model/work_model.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {Refusal} from './refusal.js';
import {requestWorkOf} from './request_work_of.js';

/**
 * Resolves the route and customer of a request, or returns why it is refused.
 * @param arrivedMs steady clock; its timeouts count from then
 */
export function admitRequest(
  configuration: PublishedConfiguration,
  arrived: RequestArrived,
  arrivedMs: number,
  random: RandomSource,
  model: WorkModel,
): Result<ForwardedRequest, Refusal> {
  const current = configuration.current();
  if (!current) return Err('not_ready');
  const route = configuration.routes().find(arrived.host, arrived.path);
  if (!route) return Err('unknown_route');
  const customer = configuration.keys().findByKey(arrived.bearerKey);
  const needsKey = current.customers !== undefined && !route.public;
  if (needsKey && !customer) return Err('unknown_key');
  const {remainingMs} = arrived;
  return Ok({
    reqId: arrived.reqId,
    arrived,
    suspect: createSuspectRequest(arrived, route.kind),
    route,
    service: pickService(route, random),
    customer,
    arrivedMs,
    deadlineMs: arrivedMs + Math.min(route.timeoutMs, remainingMs ?? Infinity),
    callerDeadlineMs:
      remainingMs === undefined ? undefined : arrivedMs + remainingMs,
    expectedWork: model.expect(requestWorkOf(arrived, route, customer)),
    history: createAttemptHistory(),
    attempts: 0,
    current: undefined,
    plannedStart: undefined,
    nextCapacityCheckMs: undefined,
    failsAtMs: undefined,
    failedEndpoints: new Set(),
    reservationRefusals: 0,
    survived: false,
    lastPiece: arrived.resumeAfter,
    lastPieceMs: undefined,
    firstPieceMs: undefined,
    longestGapMs: 0,
    streamStarted: false,
  });
}
