import type {VmListRead} from '../router/events/vm_list_read.js';
import type {RouterContext} from '../router/router_context.js';
import type {EndpointDirectory} from './endpoint_directory.js';

/** Marks endpoints whose VM has started to leave. */
export type VmDepartures = (ctx: RouterContext, event: VmListRead) => void;

/**
 * Creates a handler of the VM list. Only the change to `leaving` counts: the
 * list lags, and a replaced VM may still be listed under its old state.
 */
export function createVmDepartures(
  endpoints: () => EndpointDirectory,
): VmDepartures {
  let leaving = new Set<string>();

  return (ctx, event) => {
    const now = event.vms
      .filter(vm => vm.state === 'leaving')
      .map(vm => vm.address);
    const newlyLeaving = now.filter(address => !leaving.has(address));
    leaving = new Set(now);
    if (newlyLeaving.length === 0) return;
    for (const {row} of endpoints().all()) {
      if (newlyLeaving.some(address => isOnVm(row.url, address))) {
        endpoints().markLeaving(ctx, row.name, 'vm_list');
      }
    }
  };
}

/** The VM's address is an IP address with or without a port. */
function isOnVm(url: string, address: string): boolean {
  const authority = url.replace(/^[a-z]+:\/\//, '').split('/')[0] ?? '';
  return authority === address || authority.split(':')[0] === address;
}
