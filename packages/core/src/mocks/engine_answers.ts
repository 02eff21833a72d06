import {NO_HINTS} from '../endpoint_hints/endpoint_hints.js';
import type {NamedLimit} from '../endpoint_limits/named_limit.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {RunningAttempt} from './running_attempt.js';
import type {VirtualTimeline} from './virtual_timeline.js';
import {NO_EVIDENCE} from '../types/attempt_evidence.js';

const NETWORK_MS = 3;
const PIECE_MS = 60;
const PIECES = 10;

/** What engines of a fleet test send to gateways. */
export interface EngineAnswers {
  /** Ends an attempt without an answer. */
  fail(running: RunningAttempt, failure: AttemptFailure): void;
  sendHead(running: RunningAttempt, limit: NamedLimit): void;
  /** Sends the first pieces at once. */
  sendPieces(running: RunningAttempt, count: number): void;
  /** Sends the pieces after the first `written` ones, and the end. */
  write(running: RunningAttempt, written: number, onEnd: () => void): void;
}

/** Creates the answers of engines on a virtual clock. */
export function createEngineAnswers(timeline: VirtualTimeline): EngineAnswers {
  function send(running: RunningAttempt, event: GatewayEvent): void {
    timeline.after(NETWORK_MS, () => running.reply(event));
  }

  function fail(running: RunningAttempt, failure: AttemptFailure): void {
    if (!running.open) return;
    running.open = false;
    const {reqId, attempt} = running.action;
    const event = {reqId, attempt, failure, detail: '', atFault: ''};
    const evidence = NO_EVIDENCE;
    send(running, {kind: 'attempt_failed', ...event, evidence});
  }

  function sendHead(running: RunningAttempt, limit: NamedLimit): void {
    const {reqId, attempt} = running.action;
    const hints = {...NO_HINTS, limit};
    send(running, {kind: 'hints_received', reqId, attempt, hints});
    send(running, {kind: 'stream_started', reqId, attempt});
  }

  function sendPiece(running: RunningAttempt, written: number): void {
    const {reqId, attempt, resumeAfter} = running.action;
    const piece = resumeAfter + written + 1;
    const payload = new Uint8Array([piece]);
    send(running, {kind: 'piece_received', reqId, attempt, piece, payload});
  }

  function write(
    running: RunningAttempt,
    written: number,
    onEnd: () => void,
  ): void {
    if (!running.open) return;
    const {reqId, attempt, resumeAfter} = running.action;
    if (resumeAfter + written + 1 > PIECES) {
      running.open = false;
      onEnd();
      const event = {reqId, attempt, delimited: true};
      return send(running, {kind: 'stream_ended', ...event});
    }
    sendPiece(running, written);
    timeline.after(PIECE_MS, () => write(running, written + 1, onEnd));
  }

  return {
    fail,
    sendHead,
    sendPieces: (running, count) => {
      for (let i = 0; i < count; i++) sendPiece(running, i);
    },
    write,
  };
}
