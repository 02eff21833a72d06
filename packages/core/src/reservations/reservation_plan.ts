import type {EndpointView} from '../endpoints/endpoint_view.js';

/** KV memory to reserve on one engine. */
export interface PlannedReservation {
  endpoint: string;
  url: string;
  tokens: number;
}

/** Share of an engine's memory that leaves some for other prompts. */
const PREFERRED_SHARE = 0.5;
/** Share to try if the preferred one does not suffice. */
const FULL_SHARE = 1;

/**
 * Spreads a prompt over as few engines as can hold it. The plan is ordered by
 * name, so that routers which need the same engines reserve in the same order
 * and cannot deadlock.
 *
 * @param first engine that must be part of the plan
 * @returns undefined if too little memory is free now
 */
export function planReservation(
  tokens: number,
  first: EndpointView,
  candidates: EndpointView[],
): PlannedReservation[] | undefined {
  const others = candidates
    .filter(view => view !== first)
    .sort((a, b) => freeTokens(b) - freeTokens(a) || byName(a, b));
  const ordered = [first, ...others];
  return (
    fill(tokens, ordered, PREFERRED_SHARE) ?? fill(tokens, ordered, FULL_SHARE)
  );
}

/** Takes at most a share of each engine's memory until all tokens fit. */
function fill(
  tokens: number,
  ordered: EndpointView[],
  capacityShare: number,
): PlannedReservation[] | undefined {
  const plan: PlannedReservation[] = [];
  let left = tokens;
  for (const view of ordered) {
    const maxTokens = Math.floor(view.row.kvCapacityTokens * capacityShare);
    const share = Math.min(left, freeTokens(view), maxTokens);
    if (share <= 0) continue;
    const {name, url} = view.row;
    plan.push({endpoint: name, url, tokens: share});
    left -= share;
  }
  if (left > 0 || plan[0]?.endpoint !== ordered[0]?.row.name) return undefined;
  return plan.sort((a, b) => (a.endpoint < b.endpoint ? -1 : 1));
}

/** KV memory that is free as far as the router knows. */
function freeTokens(view: EndpointView): number {
  const used = (view.report?.kvUsedTokens ?? 0) + view.sentTokens;
  return Math.max(0, view.row.kvCapacityTokens - used);
}

function byName(a: EndpointView, b: EndpointView): number {
  return a.row.name < b.row.name ? -1 : 1;
}
