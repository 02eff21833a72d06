import type {RouterContext} from '../router/router_context.js';
import {pick} from '../shared/pick.js';
import type {VmEntry} from '../types/vm_entry.js';
import type {MemberTable} from './member_table.js';

/** Addresses of routers that may exist but are not believed alive. */
export interface Contacts {
  /** Replaces the addresses taken from the VM list. */
  vmListRead(vms: VmEntry[]): void;
  /**
   * The address that was contacted least recently, a random one among equals;
   * undefined if there is none. A random choice alone can skip a live member
   * for longer than the time limit for correcting a false death.
   */
  next(ctx: RouterContext): string | undefined;
}

/**
 * Creates contacts from the seeds, the VM list and the members believed dead;
 * the latter rejoin the two sides after a network partition.
 */
export function createContacts(table: MemberTable, seeds: string[]): Contacts {
  let listed: string[] = [];
  let contactedMs = new Map<string, number>();

  function next(ctx: RouterContext): string | undefined {
    const known = table.others().map(member => member.update.address);
    const candidates = new Set([...seeds, ...listed, ...known]);
    for (const address of table.alive()) candidates.delete(address);
    contactedMs = new Map(
      [...candidates].map(address => [
        address,
        contactedMs.get(address) ?? Number.NEGATIVE_INFINITY,
      ]),
    );
    const oldestMs = Math.min(...contactedMs.values());
    const oldest = [...candidates].filter(
      address => contactedMs.get(address) === oldestMs,
    );
    const chosen = pick(oldest, ctx.random);
    if (chosen !== undefined) contactedMs.set(chosen, ctx.nowMs);
    return chosen;
  }

  return {
    vmListRead: vms => {
      // A VM may still serve for a while after it is listed as leaving.
      listed = vms.map(vm => vm.address);
    },
    next,
  };
}
