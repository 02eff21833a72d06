/** The time of an order was over before it was written to the socket. */
export class OrderExpired extends Error {}
