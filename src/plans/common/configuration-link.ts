/** The call between daemons that carries the configuration's body. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';

/** A version of the configuration object as it travels. */
export type ConfigurationBody = {
	readonly version: number;
	/** Empty when the peer has nothing newer. */
	readonly value: string;
};

/** The sending side. */
export abstract class ConfigurationLink {
	/** Asks a peer for a version newer than `ownVersion`, preferably `wantedVersion`; the peer may wait for it a little. */
	abstract fetch(peer: PeerAddress, wantedVersion: number, ownVersion: number): Promise<Result<ConfigurationBody, Failure>>;
}
