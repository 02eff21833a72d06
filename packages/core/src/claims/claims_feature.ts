import type {AliveMembers} from '../membership/alive_members.js';
import type {PeerReceived} from '../router/events/peer_received.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import {checkKey} from './check_key.js';
import {chooseRecorder} from './choose_recorder.js';
import type {ClaimListener} from './claim_listener.js';
import {createClaimOwner} from './claim_owner.js';
import type {Claims} from './claims.js';
import type {ClaimsConfig} from './claims_config.js';
import {createOutcomeOutbox} from './outcome_outbox.js';
import {createRecorder} from './recorder.js';
import type {SendToRecorder} from './send_to_recorder.js';
import type {ReplyToOwner} from './reply_to_owner.js';

/** Router feature that decides claims by the order of the log. */
export interface ClaimsFeature extends Claims, RouterFeature {}

/** Creates a router's claims: those it owns and those it records. */
export function createClaimsFeature(
  cfg: ClaimsConfig,
  members: AliveMembers,
  listener: ClaimListener,
): ClaimsFeature {
  const {self} = members;
  const recorder = createRecorder(cfg, reply);
  const outbox = createOutcomeOutbox(send);
  const owner = createClaimOwner({cfg, send, outbox, listener});

  function send(
    ...[ctx, key, sends, message]: Parameters<SendToRecorder>
  ): void {
    const to = chooseRecorder(members, key, sends);
    if (to !== self) ctx.emit({kind: 'send_peer', to, message});
    else toRecorder(ctx, message, self);
  }

  function reply(...[ctx, to, message]: Parameters<ReplyToOwner>): void {
    if (to !== self) ctx.emit({kind: 'send_peer', to, message});
    else toOwner(ctx, message);
  }

  function toRecorder(
    ctx: RouterContext,
    message: Parameters<SendToRecorder>[3],
    from: string,
  ): void {
    if (message.kind === 'claim_submission') {
      recorder.submit(ctx, message.claim, from);
    } else {
      recorder.report(ctx, message.outcome, from);
    }
  }

  function toOwner(
    ctx: RouterContext,
    message: Parameters<ReplyToOwner>[2],
  ): void {
    if (message.kind === 'claim_decision') owner.decided(ctx, message);
    else outbox.acknowledged(message.claimId);
  }

  function peerReceived(ctx: RouterContext, event: PeerReceived): void {
    const {from, message} = event;
    switch (message.kind) {
      case 'claim_submission':
      case 'outcome_report':
        return toRecorder(ctx, message, from);
      case 'claim_decision':
      case 'outcome_receipt':
        return toOwner(ctx, message);
    }
  }

  return {
    checkKey: (ctx, key) => checkKey(cfg, key, ctx.wallMs),
    request: owner.request,
    ended: owner.ended,
    unrecordedOutcomes: ctx => outbox.countDelayingStop(ctx.nowMs),
    handlers: {...recorder.handlers, peer_received: peerReceived},
    expire: ctx => {
      owner.expire(ctx);
      outbox.expire(ctx);
      recorder.expire?.(ctx);
    },
    settle: ctx => recorder.settle?.(ctx),
  };
}
