import type {EndpointView} from './endpoint_view.js';

/** Load announced by peers, if the view has it. */
interface PeerLoad {
  /** Prompt tokens sent since the newest report, by other routers. */
  peerSentTokens?: number;
}

/**
 * Prompt tokens that the endpoint still has to prefill: those reported and sent
 * since, but at least those of the router's own attempts without an answer. A
 * report that was written before an attempt reached the engine lacks it.
 */
export function queuedPrefillTokens(view: EndpointView & PeerLoad): number {
  const reported = view.report?.queuedPrefillTokens ?? 0;
  const sent = view.sentTokens + (view.peerSentTokens ?? 0);
  return Math.max(reported + sent, view.pendingTokens);
}
