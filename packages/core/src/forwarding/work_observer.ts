import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {WorkModel} from '../work_model/work_model.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {ForwardedRequest} from './forwarded_request.js';
import {requestWorkOf} from './request_work_of.js';

/** Part of a pass that the last piece of an answer has on average. */
const LAST_PIECE_SHARE = 1 / 2;

/** Tells the work model what answers show. */
export interface WorkObserver {
  /** The stream of a request is whole. */
  streamEnded(req: ForwardedRequest): void;
  callEnded(
    req: ForwardedRequest,
    current: CurrentAttempt,
    nowMs: number,
  ): void;
}

/** Creates the observer of answers. */
export function createWorkObserver(parts: {
  configuration: PublishedConfiguration;
  model: WorkModel;
}): WorkObserver {
  const {configuration, model} = parts;
  return {
    streamEnded: req => {
      const profile = configuration.service(req.service)?.engine;
      if (!profile || req.lastPiece === 0) return;
      const passes = Math.max(1, req.lastPiece) - LAST_PIECE_SHARE;
      const work = requestWorkOf(req.arrived, req.route, req.customer);
      model.answerEnded(work, passes * profile.stepsPerPass);
    },
    callEnded: (req, {choice, startedMs}, nowMs) => {
      if (req.route.kind === 'stream' || choice.queued) return;
      model.callEnded(req.route.name, choice.main.id, nowMs - startedMs);
    },
  };
}
