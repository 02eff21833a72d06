import {address, text} from './setting_kinds.js';

/** Section `[vm]` of programs that use their VM's failure domain. */
export const VM_SECTION = {
  failure_domain: text({help: 'Failure domain that the VM is in.'}),
};

/** Section `[ops]` of every long-running program. */
export const OPS_SECTION = {
  listen: address({help: 'Address for metrics and probes.'}),
};
