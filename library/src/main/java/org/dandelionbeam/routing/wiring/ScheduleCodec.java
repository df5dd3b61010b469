package org.dandelionbeam.routing.wiring;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.PromptProfile;
import org.dandelionbeam.routing.RequestContent;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.UpstreamLoad;
import org.dandelionbeam.scheduling.Outcome;
import org.dandelionbeam.scheduling.ScheduleReply;
import org.dandelionbeam.scheduling.ScheduleRequest;
import org.dandelionbeam.scheduling.Submission;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the messages between the routers of callers and schedulers. */
final class ScheduleCodec {
  private static final int SUBMIT = 0;
  private static final int CANCEL = 1;
  private static final int FIRST_OUTPUT = 2;
  private static final int END = 3;
  private static final int SYNC = 4;

  private static final int GRANTED = 0;
  private static final int QUEUED = 1;
  private static final int REFUSED = 2;
  private static final int UNKNOWN = 3;

  private ScheduleCodec() {}

  static void packRequests(MessagePacker packer, List<ScheduleRequest> requests)
      throws IOException {
    packer.packArrayHeader(requests.size());
    for (ScheduleRequest request : requests) {
      if (request instanceof ScheduleRequest.Submit submit) {
        packer.packInt(SUBMIT);
        packer.packLong(submit.id());
        packSubmission(packer, submit.submission());
      } else if (request instanceof ScheduleRequest.Cancel cancel) {
        packer.packInt(CANCEL);
        packer.packLong(cancel.id());
      } else if (request instanceof ScheduleRequest.FirstOutput output) {
        packer.packInt(FIRST_OUTPUT);
        packer.packLong(output.id());
        packer.packLong(output.elapsedNanos());
      } else if (request instanceof ScheduleRequest.End end) {
        packer.packInt(END);
        packer.packLong(end.id());
        packer.packInt(end.outcome().ordinal());
      } else if (request instanceof ScheduleRequest.Sync sync) {
        packer.packInt(SYNC);
        packSync(packer, sync);
      }
    }
  }

  static List<ScheduleRequest> unpackRequests(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<ScheduleRequest> requests = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      int type = unpacker.unpackInt();
      requests.add(
          switch (type) {
            case SUBMIT ->
                new ScheduleRequest.Submit(unpacker.unpackLong(), unpackSubmission(unpacker));
            case CANCEL -> new ScheduleRequest.Cancel(unpacker.unpackLong());
            case FIRST_OUTPUT ->
                new ScheduleRequest.FirstOutput(unpacker.unpackLong(), unpacker.unpackLong());
            case END ->
                new ScheduleRequest.End(
                    unpacker.unpackLong(), constant(Outcome.values(), unpacker.unpackInt()));
            case SYNC -> unpackSync(unpacker);
            default -> throw new IOException("unknown type of schedule request: " + type);
          });
    }
    return requests;
  }

  private static <T> T constant(T[] constants, int index) throws IOException {
    if (index < 0 || index >= constants.length) {
      throw new IOException("unknown constant " + index + " of " + constants.length);
    }
    return constants[index];
  }

  private static void packSubmission(MessagePacker packer, Submission submission)
      throws IOException {
    packer.packString(submission.service().text());
    packer.packString(submission.team().text());
    packer.packString(submission.domain().name());
    packContent(packer, submission.content());
    packVersion(packer, submission.version());
    packer.packInt(submission.upstream());
    PeerMessageCodec.packNumbers(packer, submission.excluded());
    packer.packLong(submission.ageNanos());
    packer.packLong(submission.waitedNanos());
    packer.packLong(submission.objectiveNanos());
    packer.packLong(submission.deadlineNanos());
    packer.packLong(submission.firstOutputTimeoutNanos());
  }

  private static Submission unpackSubmission(MessageUnpacker unpacker) throws IOException {
    ServiceName service = ServiceName.of(unpacker.unpackString());
    TeamName team = TeamName.of(unpacker.unpackString());
    FailureDomain domain = FailureDomain.of(unpacker.unpackString());
    RequestContent content = unpackContent(unpacker);
    Optional<SoftwareVersion> version = unpackVersion(unpacker);
    return new Submission(
        service,
        team,
        content,
        domain,
        version,
        unpacker.unpackInt(),
        PeerMessageCodec.unpackNumbers(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }

  private static void packVersion(MessagePacker packer, Optional<SoftwareVersion> version)
      throws IOException {
    if (version.isPresent()) {
      packer.packString(version.get().text());
    } else {
      packer.packNil();
    }
  }

  private static Optional<SoftwareVersion> unpackVersion(MessageUnpacker unpacker)
      throws IOException {
    return unpacker.tryUnpackNil()
        ? Optional.empty()
        : Optional.of(SoftwareVersion.of(unpacker.unpackString()));
  }

  private static void packContent(MessagePacker packer, RequestContent content) throws IOException {
    packDigest(packer, content.digest());
    PromptProfile prompt = content.prompt();
    packer.packLong(prompt.promptTokens());
    packer.packLong(prompt.outputTokens());
    packer.packArrayHeader(prompt.parts().size());
    for (PromptProfile.Part part : prompt.parts()) {
      packer.packLong(part.hash());
      packer.packLong(part.tokens());
    }
  }

  private static RequestContent unpackContent(MessageUnpacker unpacker) throws IOException {
    Optional<RequestDigest> digest = unpackDigest(unpacker);
    long promptTokens = unpacker.unpackLong();
    long outputTokens = unpacker.unpackLong();
    int partCount = unpacker.unpackArrayHeader();
    List<PromptProfile.Part> parts = new ArrayList<>();
    for (int i = 0; i < partCount; i++) {
      parts.add(new PromptProfile.Part(unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return new RequestContent(digest, new PromptProfile(promptTokens, outputTokens, parts));
  }

  private static void packDigest(MessagePacker packer, Optional<RequestDigest> digest)
      throws IOException {
    if (digest.isPresent()) {
      packer.packLong(digest.get().value());
    } else {
      packer.packNil();
    }
  }

  private static Optional<RequestDigest> unpackDigest(MessageUnpacker unpacker) throws IOException {
    return unpacker.tryUnpackNil()
        ? Optional.empty()
        : Optional.of(new RequestDigest(unpacker.unpackLong()));
  }

  private static void packSync(MessagePacker packer, ScheduleRequest.Sync sync) throws IOException {
    packer.packArrayHeader(sync.waiting().size());
    for (long id : sync.waiting()) {
      packer.packLong(id);
    }
    packer.packArrayHeader(sync.running().size());
    for (ScheduleRequest.Running running : sync.running()) {
      packer.packLong(running.id());
      packDigest(packer, running.digest());
      packer.packInt(running.upstream());
      packLoad(packer, running.load());
      packer.packBoolean(running.outputSeen());
    }
  }

  private static ScheduleRequest.Sync unpackSync(MessageUnpacker unpacker) throws IOException {
    int waitingCount = unpacker.unpackArrayHeader();
    List<Long> waiting = new ArrayList<>();
    for (int i = 0; i < waitingCount; i++) {
      waiting.add(unpacker.unpackLong());
    }
    int runningCount = unpacker.unpackArrayHeader();
    List<ScheduleRequest.Running> running = new ArrayList<>();
    for (int i = 0; i < runningCount; i++) {
      running.add(
          new ScheduleRequest.Running(
              unpacker.unpackLong(),
              unpackDigest(unpacker),
              unpacker.unpackInt(),
              unpackLoad(unpacker),
              unpacker.unpackBoolean()));
    }
    return new ScheduleRequest.Sync(waiting, running);
  }

  private static void packLoad(MessagePacker packer, UpstreamLoad load) throws IOException {
    packer.packInt(load.inFlight());
    packer.packLong(load.prefillTokens());
    packer.packLong(load.memoryTokens());
  }

  private static UpstreamLoad unpackLoad(MessageUnpacker unpacker) throws IOException {
    return new UpstreamLoad(unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong());
  }

  static void packReplies(MessagePacker packer, List<ScheduleReply> replies) throws IOException {
    packer.packArrayHeader(replies.size());
    for (ScheduleReply reply : replies) {
      if (reply instanceof ScheduleReply.Granted granted) {
        packer.packInt(GRANTED);
        packer.packLong(granted.id());
        packer.packInt(granted.upstream());
        packLoad(packer, granted.load());
        packer.packLong(granted.aheadTokens());
      } else if (reply instanceof ScheduleReply.Queued) {
        packer.packInt(QUEUED);
        packer.packLong(reply.id());
      } else if (reply instanceof ScheduleReply.Refused refused) {
        packer.packInt(REFUSED);
        packer.packLong(refused.id());
        packer.packInt(refused.reason().ordinal());
        packer.packLong(refused.retryAfter().toNanos());
      } else if (reply instanceof ScheduleReply.Unknown) {
        packer.packInt(UNKNOWN);
        packer.packLong(reply.id());
      }
    }
  }

  static List<ScheduleReply> unpackReplies(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<ScheduleReply> replies = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      int type = unpacker.unpackInt();
      long id = unpacker.unpackLong();
      replies.add(
          switch (type) {
            case GRANTED ->
                new ScheduleReply.Granted(
                    id, unpacker.unpackInt(), unpackLoad(unpacker), unpacker.unpackLong());
            case QUEUED -> new ScheduleReply.Queued(id);
            case REFUSED ->
                new ScheduleReply.Refused(
                    id,
                    constant(Decision.RefusalReason.values(), unpacker.unpackInt()),
                    Duration.ofNanos(unpacker.unpackLong()));
            case UNKNOWN -> new ScheduleReply.Unknown(id);
            default -> throw new IOException("unknown type of schedule reply: " + type);
          });
    }
    return replies;
  }
}
