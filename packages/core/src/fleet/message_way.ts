/** How a gateway's message came: from itself, or through relays. */
export type MessageWay = 'direct' | 'relayed';
