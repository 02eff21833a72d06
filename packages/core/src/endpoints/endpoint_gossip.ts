import {createGossipQueue} from '../membership/gossip_queue.js';
import type {EndpointNotice} from '../router/messages/endpoint_notice.js';
import type {Gossip} from '../router/messages/gossip.js';
import type {WorkNotice} from '../router/messages/work_notice.js';
import type {RouterConfig} from '../router/router_config.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {EndpointChange} from './endpoint_change.js';
import type {EndpointDirectory} from './endpoint_directory.js';
import type {EndpointListener} from './endpoint_listener.js';
import {createNoticeStamps} from './notice_stamps.js';
import {createPeerWork} from './peer_work.js';
import {createVmDepartures} from './vm_departures.js';

const MAX_NOTICES_PER_MESSAGE = 6;
/** A shorter partition may end undetected, with every message in it lost. */
const MIN_SENDING_MS = 10_000;

/** Exchanges endpoint state and sent work between routers. */
export interface EndpointGossip extends EndpointListener, RouterFeature {
  write(
    ctx: RouterContext,
    maxSends: number,
  ): Pick<Gossip, 'endpoints' | 'work'>;
  read(ctx: RouterContext, notices: EndpointNotice[], work: WorkNotice[]): void;
  /** Notices of endpoints that are leaving now, for full state exchange. */
  leavingNotices(): EndpointNotice[];
  /** Whether there are updates that should not wait for the next probe. */
  hasUrgentUpdates(): boolean;
  /** Records that the urgent updates were sent. */
  urgentUpdatesSent(): void;
}

/** Creates the endpoint gossip of one router, a listener of its directory. */
export function createEndpointGossip(
  cfg: Pick<RouterConfig, 'address' | 'incarnation'>,
  endpoints: () => EndpointDirectory,
): EndpointGossip {
  const queue = createGossipQueue<EndpointNotice>({minAgeMs: MIN_SENDING_MS});
  const stamps = createNoticeStamps(cfg.incarnation);
  const work = createPeerWork(cfg, endpoints);
  const vmDepartures = createVmDepartures(endpoints);
  let urgentNoticePending = false;

  function enqueue(ctx: RouterContext, notice: EndpointNotice): void {
    queue.put(ctx.nowMs, `${notice.state}/${notice.endpoint}`, notice);
    urgentNoticePending = true;
  }

  function changed(ctx: RouterContext, change: EndpointChange): void {
    const {tableNext, ...rest} = change;
    const stamp = change.state === 'withdrawn' ? tableNext : stamps.next();
    enqueue(ctx, {...rest, origin: cfg.address, stamp});
  }

  function read(
    ctx: RouterContext,
    notices: EndpointNotice[],
    workNotices: WorkNotice[],
  ): void {
    for (const notice of notices) {
      if (notice.origin === cfg.address && notice.state === 'failed') continue;
      // A failure notice received again must not extend the exclusion.
      if (notice.state === 'failed' && !stamps.isNew(ctx, notice)) continue;
      if (endpoints().applyNotice(ctx, notice)) enqueue(ctx, notice);
    }
    work.read(ctx, workNotices);
  }

  function leavingNotices(): EndpointNotice[] {
    return [...endpoints().all()].flatMap(view => {
      const {leavingIncarnation: incarnation} = view;
      if (incarnation === undefined || incarnation === '') return [];
      const endpoint = view.row.name;
      const origin = cfg.address;
      return [{endpoint, incarnation, state: 'leaving', origin, stamp: 0}];
    });
  }

  return {
    changed,
    reported: work.reported,
    sent: work.sent,
    write: (ctx, maxSends) => ({
      endpoints: queue.take(ctx.nowMs, MAX_NOTICES_PER_MESSAGE, maxSends),
      work: work.write(ctx),
    }),
    read,
    leavingNotices,
    hasUrgentUpdates: () => urgentNoticePending || work.hasUrgentUpdates(),
    urgentUpdatesSent: () => {
      urgentNoticePending = false;
      work.urgentUpdatesSent();
    },
    handlers: {vm_list_read: vmDepartures},
    expire: ctx => {
      stamps.expire(ctx);
      work.expire(ctx);
    },
  };
}
