import type {MemberUpdate} from '../router/messages/member_update.js';

/** An alive member on port 7002, started as incarnation 5. */
export function memberUpdate(over: Partial<MemberUpdate> = {}): MemberUpdate {
  return {
    address: '127.0.0.1:7002',
    failureDomain: 'amman-1',
    incarnation: 5,
    refutation: 0,
    status: 'alive',
    ...over,
  };
}

/** The router under test on port 7001, started as incarnation 3. */
export function ownUpdate(over: Partial<MemberUpdate> = {}): MemberUpdate {
  return memberUpdate({address: '127.0.0.1:7001', incarnation: 3, ...over});
}
