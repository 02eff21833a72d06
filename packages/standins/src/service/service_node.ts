import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import type {StepContext} from '@wisterialadder/core/types/step_context.js';
import type {LoadReport} from '../engine/load_report.js';
import type {RunningCall} from './running_call.js';
import type {ServiceAction} from './service_action.js';
import type {ServiceConfig} from './service_config.js';
import type {CallArrived, ServiceEvent} from './service_event.js';
import type {ServiceFaults} from './service_faults.js';

/** A simulated plain service. */
export interface ServiceNode extends DecisionNode<ServiceEvent, ServiceAction> {
  report(): LoadReport;
  /** Executions by idempotency key; the empty key counts calls without one. */
  executions(): Record<string, number>;
}

/** Creates a service without executions. */
export function createServiceNode(cfg: ServiceConfig): ServiceNode {
  const faults: ServiceFaults = {
    neverAnswer: 0,
    dropAnswer: 0,
    slowFactor: 1,
    leaving: false,
  };
  const running = new Map<string, RunningCall>();
  const executions = new Map<string, number>();
  let stopping = false;

  function arrive(ctx: StepContext<ServiceAction>, call: CallArrived): void {
    const {callId, idempotencyKey} = call;
    if (faults.leaving || running.size >= cfg.maxCalls) {
      const code = faults.leaving ? 'leaving' : 'full';
      ctx.emit({kind: 'refuse', callId, code});
      return;
    }
    const execution = (executions.get(idempotencyKey) ?? 0) + 1;
    executions.set(idempotencyKey, execution);
    running.set(callId, {
      call,
      execution,
      dueMs: ctx.nowMs + cfg.latencyMs * faults.slowFactor,
      ending: chooseEnding(ctx),
    });
  }

  function chooseEnding(
    ctx: StepContext<ServiceAction>,
  ): RunningCall['ending'] {
    const sample = ctx.random();
    if (sample < faults.neverAnswer) return 'never';
    return sample < faults.neverAnswer + faults.dropAnswer ? 'close' : 'answer';
  }

  function advance(ctx: StepContext<ServiceAction>): void {
    for (const [callId, {call, execution, dueMs, ending}] of running) {
      if (ctx.nowMs < dueMs || ending === 'never') continue;
      running.delete(callId);
      if (ending === 'close') {
        ctx.emit({kind: 'close', callId});
        continue;
      }
      const {action, reqId, bodyHash} = call;
      const body = {action, requestId: reqId, bodyHash, execution};
      ctx.emit({kind: 'answer', callId, status: 200, body});
    }
  }

  function handle(ctx: StepContext<ServiceAction>, event: ServiceEvent): void {
    switch (event.kind) {
      case 'call_arrived':
        arrive(ctx, event);
        return;
      case 'client_gone':
        running.delete(event.callId);
        return;
      case 'control_received': {
        const {callId} = event;
        Object.assign(faults, event.faults);
        ctx.emit({kind: 'answer', callId, status: 200, body: {...faults}});
        return;
      }
      case 'stop_requested':
        if (stopping) ctx.emit({kind: 'exit'});
        stopping = true;
        faults.leaving = true;
        return;
      case 'tick':
    }
  }

  return {
    step: ({event, nowMs, wallMs, random}) => {
      const actions: ServiceAction[] = [];
      const emit = (action: ServiceAction): void => void actions.push(action);
      const ctx = {nowMs, wallMs, random, emit};
      advance(ctx);
      handle(ctx, event);
      if (stopping && running.size === 0) emit({kind: 'exit'});
      return actions;
    },
    report: () => ({
      incarnation: cfg.incarnation,
      leaving: faults.leaving,
      queuedPrefillTokens: 0,
      decodeStreams: running.size,
      kvUsedTokens: 0,
      kvCapacityTokens: 0,
      cacheSequence: 0,
      sessions: [],
      models: [],
    }),
    executions: () => Object.fromEntries(executions),
  };
}
