/** How a gateway's message arrived: from itself, or through relays. */
export type MessagePath = 'direct' | 'relayed';
