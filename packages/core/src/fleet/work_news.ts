import type {GatewayContext} from '../gateway/gateway_context.js';
import type {FleetMembers} from './fleet_members.js';
import type {WorkUpdate} from './messages/work_update.js';
import type {Work} from './work.js';
import type {WorkBoard} from './work_board.js';
import {noticeOf, workOf} from './work_notices.js';

/** Tells other gateways at once what changes in the work of this one. */
export interface WorkNews {
  started(work: Work): void;
  writing(work: number): void;
  ended(work: number): void;
  /** Sends what has changed since the last call. */
  settle(ctx: GatewayContext): void;
  updateReceived(ctx: GatewayContext, from: string, update: WorkUpdate): void;
}

interface PendingUpdate {
  started: Work[];
  writing: number[];
  ended: number[];
}

function emptyUpdate(): PendingUpdate {
  return {started: [], writing: [], ended: []};
}

/** Creates news without changes. */
export function createWorkNews(
  self: string,
  members: FleetMembers,
  board: WorkBoard,
): WorkNews {
  let pending = emptyUpdate();

  function updateReceived(
    ctx: GatewayContext,
    from: string,
    update: WorkUpdate,
  ): void {
    for (const notice of update.started) {
      board.add(workOf(notice, from, ctx.nowMs));
    }
    for (const work of update.writing) board.writing(from, work);
    for (const work of update.ended) board.remove(from, work);
  }

  function settle(ctx: GatewayContext): void {
    const {started, writing, ended} = pending;
    if (started.length + writing.length + ended.length === 0) return;
    const to = members.alive(ctx.nowMs).map(({address}) => address);
    if (to.length > 0) {
      const notices = started.map(work => noticeOf(work, ctx.nowMs));
      const message: WorkUpdate = {
        kind: 'work_update',
        started: notices,
        writing,
        ended,
      };
      ctx.emit({kind: 'send_peers', to, message});
    }
    pending = emptyUpdate();
  }

  return {
    settle,
    updateReceived,
    started: work => {
      board.add(work);
      pending.started.push(work);
    },
    writing: work => {
      board.writing(self, work);
      pending.writing.push(work);
    },
    ended: work => {
      board.remove(self, work);
      pending.ended.push(work);
    },
  };
}
