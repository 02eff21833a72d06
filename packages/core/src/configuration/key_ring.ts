import type {CustomerAccess} from './customer_access.js';

/** Finds the customer that holds a key. */
export interface KeyRing {
  holder(key: string): CustomerAccess | undefined;
}

/** Indexes the keys of all customers. */
export function createKeyRing(customers: CustomerAccess[]): KeyRing {
  const byKey = new Map<string, CustomerAccess>();
  for (const customer of customers) {
    for (const key of customer.keys) byKey.set(key, customer);
  }
  return {holder: key => byKey.get(key)};
}
