import {liftQuarantine} from '../client/lift_quarantine.js';
import type {Command} from './command.js';
import {failure, success, usageError} from './command_result.js';
import {parseOpsAddress} from './ops_address.js';

/** Id of a part of prompts, or of a request. */
const CAUSE_ID = /^(?:request-\d+-)?[0-9a-f]{1,64}$/;

/** Lifts the quarantine of a cause for the whole fleet, at one gateway. */
export const QUARANTINE_LIFT: Command = {
  usage: 'gateway lift <address> <id>',
  help: 'Send a quarantined request, or prompts with a quarantined part, to engines again; needs no key',
  options: [],
  examples: ['gateway lift http://10.0.0.1:9464 f51bf2c1e50'],
  run: async (_ctx, {args: [address = '', cause = '']}) => {
    const url = parseOpsAddress(address);
    if (!url.ok) return url.val;
    if (!CAUSE_ID.test(cause)) {
      const hint = 'See "wlctl gateway quarantine" for the ids.';
      return usageError(
        `"${cause}" is not the id of a part or a request`,
        hint,
      );
    }
    const lifted = await liftQuarantine(url.val, cause);
    if (!lifted.ok) return failure(lifted.val);
    return success({
      columns: ['id', 'state'],
      rows: [[cause, 'lifted']],
      notes: [],
      json: {cause, state: 'lifted'},
    });
  },
};
