import type {VmEntry} from '../../types/vm_entry.js';

/** The platform's VM list was read. */
export interface VmListRead {
  kind: 'vm_list_read';
  vms: VmEntry[];
}
