import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import {createTokenBucket} from '../shared/token_bucket.js';
import {createDelayedResponses} from './delayed_responses.js';
import {createLogStore} from './log/log_store.js';
import type {PlatformAction} from './platform_action.js';
import type {PlatformConfig} from './platform_config.js';
import type {PlatformContext} from './platform_context.js';
import type {PlatformEvent} from './platform_event.js';
import {noPlatformFaults} from './platform_faults.js';
import {createVmList} from './vm_list.js';

/** A simulated platform. */
export type PlatformNode = DecisionNode<PlatformEvent, PlatformAction>;

/** Creates a platform with an empty log. */
export function createPlatformNode(cfg: PlatformConfig): PlatformNode {
  const faults = noPlatformFaults();
  const responses = createDelayedResponses(faults);
  const log = createLogStore(cfg, faults, responses);
  const vms = createVmList(cfg);
  const weightRate = createTokenBucket(cfg.weightsPerSecond, cfg.weightsBurst);

  function refuseInOutage(ctx: PlatformContext, callId: string): boolean {
    const {otherOutage} = faults;
    if (otherOutage === 0 || ctx.random() >= otherOutage) return false;
    const body = {error: 'unavailable'};
    responses.send(ctx, {kind: 'answer', callId, status: 503, body});
    return true;
  }

  function serveWeights(
    ctx: PlatformContext,
    callId: string,
    model: string,
  ): void {
    if (refuseInOutage(ctx, callId)) return;
    const admitted = weightRate.tryTake(ctx.nowMs);
    const status = admitted ? 200 : 429;
    const body = admitted ? {model} : {error: 'weight_rate'};
    const afterMs = admitted ? cfg.weightsMs : 0;
    responses.send(ctx, {kind: 'answer', callId, status, body}, afterMs);
  }

  function handle(ctx: PlatformContext, event: PlatformEvent): void {
    switch (event.kind) {
      case 'append_asked':
        log.append(ctx, event);
        return;
      case 'read_asked':
        log.read(ctx, event);
        return;
      case 'client_gone':
        log.clientGone(event.callId);
        return;
      case 'vms_asked': {
        const {callId} = event;
        if (refuseInOutage(ctx, callId)) return;
        const body = {vms: vms.read(ctx.nowMs)};
        responses.send(ctx, {kind: 'answer', callId, status: 200, body});
        return;
      }
      case 'vms_changed': {
        const {callId} = event;
        vms.replace(ctx.nowMs, event.vms);
        ctx.emit({kind: 'answer', callId, status: 200, body: {}});
        return;
      }
      case 'weights_asked':
        serveWeights(ctx, event.callId, event.model);
        return;
      case 'control_received': {
        const {callId} = event;
        Object.assign(faults, event.faults);
        ctx.emit({kind: 'answer', callId, status: 200, body: {...faults}});
        return;
      }
      case 'tick':
    }
  }

  return {
    step: ({event, nowMs, wallMs, random}) => {
      const actions: PlatformAction[] = [];
      const emit = (action: PlatformAction): void => void actions.push(action);
      const ctx = {nowMs, wallMs, random, emit};
      log.advance(ctx);
      responses.advance(ctx);
      handle(ctx, event);
      return actions;
    },
  };
}
