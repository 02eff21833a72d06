/** How a gateway's message came: from itself, or through relays. */
export type MessagePath = 'direct' | 'relayed';
