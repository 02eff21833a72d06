/** The deadline of an order passed before it was written to the socket. */
export class OrderExpiredError extends Error {}
