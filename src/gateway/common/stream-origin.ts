/** Where a stream began: the software version that its continuations must have, because the output of two versions does not fit together. */

/** A caller's wish to continue a stream that broke off in an earlier request. */
export type Resumption = {
	/** Id of the request that brought the stream's first event; undefined when the caller does not state it. */
	readonly firstRequestId: string | undefined;
};
