import type {VmEntry} from '../../types/vm_entry.js';

export interface VmListRead {
  kind: 'vm_list_read';
  vms: VmEntry[];
}
