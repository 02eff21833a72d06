import type {CustomerAccess} from '../configuration/customer_access.js';
import type {Route} from '../configuration/route.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {RequestWork} from '../work_model/request_work.js';

/** Expected share of the output limit, where the caller gave no estimate. */
const UNKNOWN_OUTPUT_SHARE = 0.4;

/** What a request says about its cost. */
export function requestWorkOf(
  {
    maxOutputTokens,
    expectedOutputTokens,
  }: Pick<RequestArrived, 'maxOutputTokens' | 'expectedOutputTokens'>,
  {name, kind}: Route,
  customer: CustomerAccess | undefined,
): RequestWork {
  const declared =
    expectedOutputTokens || maxOutputTokens * UNKNOWN_OUTPUT_SHARE;
  return {
    route: name,
    customer: customer?.name ?? '',
    streamed: kind === 'stream',
    declaredTokens: Math.min(maxOutputTokens, Math.round(declared)),
    maxOutputTokens,
  };
}
