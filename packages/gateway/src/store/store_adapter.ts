import type {AnnounceMember} from '@wisterialadder/core/gateway/actions/announce_member.js';
import type {ReadStore} from '@wisterialadder/core/gateway/actions/read_store.js';
import type {SaveQuarantine} from '@wisterialadder/core/gateway/actions/save_quarantine.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import type {StoreCall} from '@wisterialadder/core/store_watch/store_call.js';
import type {StoreFailure} from '@wisterialadder/core/store_watch/store_failure.js';
import {Err, type Result} from '@wisterialadder/core/shared/result.js';
import type {StoreClient} from './store_client.js';

/** Performs the store actions of the core and reports their results. */
export interface StoreAdapter {
  read(action: ReadStore): void;
  announce(action: AnnounceMember): void;
  saveQuarantine(action: SaveQuarantine): void;
}

/** Creates an adapter that uses the given client. */
export function createStoreAdapter(
  client: StoreClient,
  push: (event: GatewayEvent) => boolean,
  onError: (err: unknown) => void,
): StoreAdapter {
  async function pushResult(
    call: StoreCall,
    result: Promise<Result<GatewayEvent, StoreFailure>>,
  ): Promise<void> {
    const settled = await settle(result);
    if (settled.ok) push(settled.val);
    else push({kind: 'store_failed', call, failure: settled.val});
  }

  /** An unexpected error must not leave the core without an answer. */
  async function settle<T>(
    result: Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> {
    try {
      return await result;
    } catch (err) {
      onError(err);
      return Err('malformed');
    }
  }

  function read({call, fromOffset}: ReadStore): void {
    switch (call) {
      case 'configuration':
        return void pushResult(call, client.readConfiguration(fromOffset));
      case 'registry':
        return void pushResult(call, client.readRegistry(fromOffset));
      case 'members':
        return void pushResult(call, client.readMembers());
      case 'quarantine':
        return void pushResult(call, client.readQuarantine());
      case 'announce':
      case 'save_quarantine':
        return;
    }
  }

  async function announce({record}: AnnounceMember): Promise<void> {
    const result = await settle(client.announce(record));
    if (result.ok) push({kind: 'member_announced'});
    else push({kind: 'store_failed', call: 'announce', failure: result.val});
  }

  async function save({entry}: SaveQuarantine): Promise<void> {
    const result = await settle(client.saveQuarantine(entry));
    if (result.ok) push({kind: 'quarantine_saved', entry});
    else {
      const call = 'save_quarantine';
      push({kind: 'store_failed', call, failure: result.val});
    }
  }

  return {
    read,
    announce: action => void announce(action),
    saveQuarantine: action => void save(action),
  };
}
