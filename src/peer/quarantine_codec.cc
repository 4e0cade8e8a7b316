#include "peer/quarantine_codec.h"

#include "peer/wire_values.h"

namespace mimosahub
{

namespace
{

std::int64_t ageOf(TimePoint at, TimePoint now)
{
    return toMicroseconds(now - at);
}

/// The time \a ageUs before \a now; nothing that is reported lies in the future.
TimePoint timeOf(std::int64_t ageUs, TimePoint now)
{
    return now - std::max(Duration::zero(), fromMicroseconds(ageUs));
}

template<typename Builder>
void writePart(const SharedPart &part, Builder out)
{
    out.setService(part.service.str());
    out.setPart(part.part);
}

template<typename Reader>
SharedPart readPart(Reader in)
{
    return {readId<ServiceId>(in.getService()), std::string(in.getPart().cStr(), in.getPart().size())};
}

void writeQuarantine(const Quarantine &quarantine, TimePoint now, wire::Quarantine::Builder out)
{
    writePart(quarantine.part, out);
    out.setNumber(quarantine.number);
    out.setEnded(quarantine.ended);
    out.setTrials(quarantine.trials);
    out.setAnsweredBefore(quarantine.answeredBefore);
    out.setCrashes(quarantine.crashes);
    out.setSinceAgeUs(ageOf(quarantine.since, now));
    out.setChangedAgeUs(ageOf(quarantine.changedAt, now));
}

Quarantine readQuarantine(wire::Quarantine::Reader in, TimePoint now)
{
    Quarantine quarantine;
    quarantine.part = readPart(in);
    quarantine.number = in.getNumber();
    quarantine.ended = in.getEnded();
    quarantine.trials = in.getTrials();
    quarantine.answeredBefore = in.getAnsweredBefore();
    quarantine.crashes = in.getCrashes();
    quarantine.since = timeOf(in.getSinceAgeUs(), now);
    quarantine.changedAt = timeOf(in.getChangedAgeUs(), now);
    return quarantine;
}

} // namespace

void writeQuarantines(const QuarantineMessage &message, TimePoint now, wire::QuarantineMessage::Builder out)
{
    const auto &news = message.news;
    out.setDigest(message.digest);
    auto crashes = out.initCrashes(static_cast<unsigned>(news.crashes.size()));
    for (unsigned i = 0; i < news.crashes.size(); ++i) {
        writePart(news.crashes[i].part, crashes[i]);
        crashes[i].setEndpoint(news.crashes[i].endpoint.endpoint.str());
        crashes[i].setStartedAtMs(news.crashes[i].endpoint.startedAtMs);
        crashes[i].setSentAgeUs(ageOf(news.crashes[i].sentAt, now));
        crashes[i].setCrashAgeUs(ageOf(news.crashes[i].crashedAt, now));
    }
    auto answers = out.initAnswers(static_cast<unsigned>(news.answers.size()));
    for (unsigned i = 0; i < news.answers.size(); ++i) {
        writePart(news.answers[i].part, answers[i]);
        answers[i].setAgeUs(ageOf(news.answers[i].answeredAt, now));
    }
    auto quarantines = out.initQuarantines(static_cast<unsigned>(news.quarantines.size()));
    for (unsigned i = 0; i < news.quarantines.size(); ++i) {
        writeQuarantine(news.quarantines[i], now, quarantines[i]);
    }
}

QuarantineMessage readQuarantines(wire::QuarantineMessage::Reader in, TimePoint now)
{
    QuarantineMessage message;
    message.digest = in.getDigest();
    for (const auto crash : in.getCrashes()) {
        message.news.crashes.push_back({readPart(crash),
                                        {readId<EndpointId>(crash.getEndpoint()), crash.getStartedAtMs()},
                                        timeOf(crash.getSentAgeUs(), now),
                                        timeOf(crash.getCrashAgeUs(), now)});
    }
    for (const auto answer : in.getAnswers()) {
        message.news.answers.push_back({readPart(answer), timeOf(answer.getAgeUs(), now)});
    }
    for (const auto quarantine : in.getQuarantines()) {
        message.news.quarantines.push_back(readQuarantine(quarantine, now));
    }
    return message;
}

} // namespace mimosahub
