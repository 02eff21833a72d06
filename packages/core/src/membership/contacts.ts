import type {RouterContext} from '../router/router_context.js';
import {pick} from '../shared/pick.js';
import type {VmEntry} from '../types/vm_entry.js';
import type {MemberTable} from './member_table.js';

/** Addresses of routers that may exist but are not believed alive. */
export interface Contacts {
  /** Replaces the hint of the VM list. */
  vmListRead(vms: VmEntry[]): void;
  /** A random address worth contacting; undefined if there is none. */
  next(ctx: RouterContext): string | undefined;
}

/**
 * Creates contacts from the seeds, the VM list and members that are believed
 * dead; the last ones reunite two sides after a partition.
 */
export function createContacts(table: MemberTable, seeds: string[]): Contacts {
  let listed: string[] = [];

  function next(ctx: RouterContext): string | undefined {
    const known = table.others().map(member => member.update.address);
    const candidates = new Set([...seeds, ...listed, ...known]);
    for (const address of table.alive()) candidates.delete(address);
    return pick([...candidates], ctx.random);
  }

  return {
    vmListRead: vms => {
      // A VM may serve for a while after the list calls it leaving.
      listed = vms.map(vm => vm.address);
    },
    next,
  };
}
