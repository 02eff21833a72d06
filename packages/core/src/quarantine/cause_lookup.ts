import type {QuarantineList} from './quarantine_list.js';
import type {RequestEnds} from './request_ends.js';
import type {SuspectRequest} from './suspect_request.js';

/**
 * The causes that a request may be: the parts of its prompt, and itself if
 * engines ended under a request of this size. Most gateways never make a
 * digest.
 */
export type CauseLookup = (req: SuspectRequest) => readonly string[];

/** Creates the lookup in what is known of requests. */
export function createCauseLookup(
  ends: Pick<RequestEnds, 'hasSize'>,
  list: Pick<QuarantineList, 'hasSize'>,
): CauseLookup {
  return ({parts, bodyBytes, identify}) => {
    if (!identify) return parts;
    if (!ends.hasSize(bodyBytes) && !list.hasSize(bodyBytes)) return parts;
    return [...parts, identify()];
  };
}
